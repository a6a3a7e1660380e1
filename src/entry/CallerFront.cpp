#include "entry/CallerFront.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

// Those who wait look again at least so often: places come free at servers
// without this instance hearing of it.
constexpr Millis kLookAgain{ 25 };

} // namespace

CallerFront::CallerFront(EntryState& aState,
                         TokenAsker& aTokens,
                         PlaceAsker& aPlaces)
  : mState(aState)
  , mTokens(aTokens)
  , mPlaces(aPlaces)
{
}

void
CallerFront::OnRequest(const std::shared_ptr<InboundConn>& aConn,
                       InboundRequest& aRequest)
{
  auto exchange = std::make_shared<Exchange>(
    mState, *this, mTokens, mPlaces, aConn, std::move(aRequest));
  mExchanges[aConn.get()] = exchange;
  exchange->Begin();
}

void
CallerFront::OnLeft(InboundConn& aConn)
{
  auto found = mExchanges.find(&aConn);
  if (found != mExchanges.end()) {
    std::shared_ptr<Exchange> exchange = found->second;
    exchange->OnCallerLeft();
  }
}

void
CallerFront::OnBad(int aStatus, const char* aWhy)
{
  mState.mLog.Line("request_unreadable")
    .Count("status", aStatus)
    .Text("why", aWhy);
}

CallerLimits
CallerFront::Limits() const
{
  return mState.mConfig ? mState.mConfig->mLimits : CallerLimits();
}

void
CallerFront::Wait(const std::shared_ptr<Exchange>& aExchange)
{
  mWaiting.push_back(aExchange);
  ArmTimer();
}

void
CallerFront::Over(Exchange& aExchange)
{
  auto found = mExchanges.find(aExchange.Caller());
  if (found != mExchanges.end() && found->second.get() == &aExchange) {
    mExchanges.erase(found);
  }
  if (!mWaiting.empty()) {
    ServersChanged(); // a place came free
  }
}

void
CallerFront::ServersChanged()
{
  if (mWaiting.empty() || mLookDue) {
    return;
  }
  mLookDue = true;
  mState.mReactor.After(Millis(0), [this] {
    mLookDue = false;
    LookAgain();
  });
}

void
CallerFront::LookAgain()
{
  std::vector<std::shared_ptr<Exchange>> waiting = std::move(mWaiting);
  mWaiting.clear();
  std::stable_sort(
    waiting.begin(), waiting.end(), [](const auto& aOne, const auto& aOther) {
      return std::make_tuple(aOne->Priority(), aOne->Arrived()) <
             std::make_tuple(aOther->Priority(), aOther->Arrived());
    });
  for (std::shared_ptr<Exchange>& exchange : waiting) {
    if (!exchange->TryAgain()) {
      mWaiting.push_back(std::move(exchange));
    }
  }
  ArmTimer();
}

void
CallerFront::ArmTimer()
{
  if (mTimerArmed || mWaiting.empty()) {
    return;
  }
  mTimerArmed = true;
  mState.mReactor.After(kLookAgain, [this] {
    mTimerArmed = false;
    LookAgain();
  });
}

} // namespace caraway
