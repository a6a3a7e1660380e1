#include "entry/RequestDispatcher.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

// Longest time between two attempts to dispatch the waiting requests: slots
// come free at servers without a notification to this instance.
constexpr Millis kRetryWaitingInterval{ 25 };

} // namespace

RequestDispatcher::RequestDispatcher(EntryState& aState,
                                     RateLimiter& aRateLimiter,
                                     LoadRequester& aLoadRequester,
                                     ForwardPeers& aForwardPeers,
                                     StreamOrigins& aOrigins,
                                     CrashWatch& aCrashWatch,
                                     FreshnessCheck& aFreshnessCheck,
                                     ServerPermits& aServerPermits)
  : mState(aState)
  , mRateLimiter(aRateLimiter)
  , mLoadRequester(aLoadRequester)
  , mForwardPeers(aForwardPeers)
  , mOrigins(aOrigins)
  , mCrashWatch(aCrashWatch)
  , mFreshnessCheck(aFreshnessCheck)
  , mServerPermits(aServerPermits)
{
}

void
RequestDispatcher::OnRequest(const std::shared_ptr<InboundConnection>& aConn,
                             InboundRequest& aRequest)
{
  auto exchange = std::make_shared<Exchange>(mState,
                                             *this,
                                             mRateLimiter,
                                             mLoadRequester,
                                             mForwardPeers,
                                             mOrigins,
                                             mCrashWatch,
                                             mFreshnessCheck,
                                             mServerPermits,
                                             aConn,
                                             std::move(aRequest));
  mExchanges[aConn.get()] = exchange;
  exchange->Begin();
}

void
RequestDispatcher::OnDisconnected(InboundConnection& aConn)
{
  auto found = mExchanges.find(&aConn);
  if (found != mExchanges.end()) {
    std::shared_ptr<Exchange> exchange = found->second;
    exchange->OnCallerDisconnected();
  }
}

void
RequestDispatcher::OnConnectionClosing(const InboundConnection& aConn,
                                       const ConnectionClose& aClose)
{
  mState.mMetrics.Count("caraway_connections_ended_total",
                        std::string("why=\"") +
                          ConnectionCloseReasonName(aClose.mReason) + "\"");
  if (aClose.mReason == ConnectionCloseReason::AnswerWithClose &&
      aClose.mUnread == 0) {
    return; // expected by the caller
  }
  auto found = mExchanges.find(&aConn);
  mState.mLog.Line("connection_ended")
    .Text("why", ConnectionCloseReasonName(aClose.mReason))
    .Text("id", found == mExchanges.end() ? "" : found->second->Id())
    .Flag("busy", aClose.mBusy)
    .Count("requests", aClose.mRequests)
    .Count("unread", static_cast<int64_t>(aClose.mUnread))
    .Ms("age_ms", aClose.mAge)
    .Ms("quiet_ms", aClose.mSinceLastAnswer)
    .Ms("reading_ms", aClose.mReadTime)
    .Ms("idle_limit_ms", aClose.mIdleLimit)
    .Count("config", mState.mConfig ? mState.mConfig->mVersion : 0);
}

void
RequestDispatcher::OnInputDiscarded(size_t aBytes)
{
  mState.mLog.Line("input_dropped")
    .Count("bytes", static_cast<int64_t>(aBytes));
}

void
RequestDispatcher::OnConnectionRejected(size_t aOpen)
{
  mState.mLog.Line("connection_turned_away")
    .Count("open", static_cast<int64_t>(aOpen));
}

void
RequestDispatcher::OnRequestRejected(int aStatus, const char* aWhy)
{
  mState.mLog.Line("request_unreadable")
    .Count("status", aStatus)
    .Text("why", aWhy);
}

CallerLimits
RequestDispatcher::Limits() const
{
  return mState.mConfig ? mState.mConfig->mLimits : CallerLimits();
}

void
RequestDispatcher::WaitForServer(const std::shared_ptr<Exchange>& aExchange)
{
  mWaiting.push_back(aExchange);
  ArmTimer();
}

void
RequestDispatcher::TryInOrder(const std::shared_ptr<Exchange>& aExchange)
{
  mWaiting.push_back(aExchange);
  OnServersChanged();
}

bool
RequestDispatcher::WaitInOrder(const std::string& aService) const
{
  return std::any_of(
    mWaiting.begin(), mWaiting.end(), [&aService](const auto& aExchange) {
      return aExchange->StillWaits() && aExchange->Service() == aService &&
             aExchange->InOrder();
    });
}

std::map<int, int>
RequestDispatcher::WaitingByClass() const
{
  std::map<int, int> classes;
  for (const auto& exchange : mWaiting) {
    if (exchange->StillWaits() && exchange->InOrder()) {
      ++classes[exchange->Priority()];
    }
  }
  return classes;
}

void
RequestDispatcher::OnExchangeDone(Exchange& aExchange)
{
  auto found = mExchanges.find(aExchange.Caller());
  if (found != mExchanges.end() && found->second.get() == &aExchange) {
    mExchanges.erase(found);
  }
  if (!mWaiting.empty()) {
    OnServersChanged(); // a server slot came free
  }
}

void
RequestDispatcher::AnswerAll()
{
  auto exchanges = mExchanges; // each one removes itself from the map
  for (auto& entry : exchanges) {
    if (!entry.second->Streaming()) {
      entry.second->OnInstanceExit();
    }
  }
}

void
RequestDispatcher::AbortStreams()
{
  auto exchanges = mExchanges;
  for (auto& entry : exchanges) {
    entry.second->OnInstanceExit();
  }
}

void
RequestDispatcher::OnServersChanged()
{
  if (mWaiting.empty() || mRetryScheduled) {
    return;
  }
  mRetryScheduled = true;
  mState.mReactor.After(Millis(0), [this] {
    mRetryScheduled = false;
    RetryWaiting();
  });
}

void
RequestDispatcher::RetryWaiting()
{
  Exchanges waiting = std::move(mWaiting);
  mWaiting.clear();
  SortWaiting(waiting);
  DispatchPass pass;
  for (std::shared_ptr<Exchange>& exchange : waiting) {
    if (!exchange->TryDispatch(pass)) {
      mWaiting.push_back(std::move(exchange));
    }
  }
  ArmTimer();
}

// Requests that aren't tried in order go to other services, so which of the two
// groups comes first doesn't matter.
void
RequestDispatcher::SortWaiting(Exchanges& aWaiting) const
{
  auto inOrder = std::stable_partition(
    aWaiting.begin(), aWaiting.end(), [](const auto& aExchange) {
      return !aExchange->InOrder();
    });
  std::stable_sort(
    aWaiting.begin(), inOrder, [](const auto& aOne, const auto& aOther) {
      return std::make_tuple(aOne->Priority(), aOne->Arrived()) <
             std::make_tuple(aOther->Priority(), aOther->Arrived());
    });
  Exchanges unsorted(inOrder, aWaiting.end());
  std::vector<WaitingRequest> requests;
  requests.reserve(unsorted.size());
  for (const auto& exchange : unsorted) {
    requests.push_back(exchange->ToWaitingRequest());
  }
  for (size_t i : mState.mDispatchOrder.Sorted(requests, mState.Now())) {
    *inOrder++ = unsorted[i];
  }
}

void
RequestDispatcher::ArmTimer()
{
  if (mTimerArmed || mWaiting.empty()) {
    return;
  }
  mTimerArmed = true;
  mState.mReactor.After(kRetryWaitingInterval, [this] {
    mTimerArmed = false;
    RetryWaiting();
  });
}

} // namespace caraway
