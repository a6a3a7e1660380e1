#include "decide/ServerRetryBudget.h"

#include <algorithm>

namespace caraway {

namespace {

// Share of the allowed retries that is used. The rest is a margin: the windows
// of servers and instances aren't aligned, and instances come and go.
constexpr double kPlannedShare = 0.6;

void
DropBefore(std::deque<TimePoint>& aTimes, TimePoint aEdge)
{
  while (!aTimes.empty() && aTimes.front() < aEdge) {
    aTimes.pop_front();
  }
}

} // namespace

ServerRetryBudget::ServerRetryBudget(ServerRetryLimits aLimits)
  : mLimits(aLimits)
{
}

void
ServerRetryBudget::DropOld(History& aHistory, TimePoint aNow) const
{
  DropBefore(aHistory.mRequests, aNow - mLimits.mWindow);
  DropBefore(aHistory.mRetries, aNow - mLimits.mWindow);
}

void
ServerRetryBudget::OnRequest(const std::string& aService, TimePoint aNow)
{
  History& history = mHistories[aService];
  history.mRequests.push_back(aNow);
  DropOld(history, aNow);
}

bool
ServerRetryBudget::Spend(const std::string& aService,
                         int aInstances,
                         TimePoint aNow)
{
  History& history = mHistories[aService];
  DropOld(history, aNow);
  double allowed =
    mLimits.mRatio * static_cast<double>(history.mRequests.size()) +
    mLimits.mSlack / std::max(1, aInstances);
  if (static_cast<double>(history.mRetries.size() + 1) >
      kPlannedShare * allowed) {
    return false;
  }
  history.mRetries.push_back(aNow);
  return true;
}

} // namespace caraway
