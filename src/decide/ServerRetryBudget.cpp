#include "decide/ServerRetryBudget.h"

#include <algorithm>

namespace caraway {

namespace {

// What is planned with, of the ratio and of the slack: windows of the servers
// and of the instances don't begin together, and instances come and go.
constexpr double kPlannedShare = 0.6;

void
ForgetBefore(std::deque<TimePoint>& aTimes, TimePoint aEdge)
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
ServerRetryBudget::Forget(Log& aLog, TimePoint aNow) const
{
  ForgetBefore(aLog.mRequests, aNow - mLimits.mWindow);
  ForgetBefore(aLog.mRepeats, aNow - mLimits.mWindow);
}

void
ServerRetryBudget::OnRequest(const std::string& aService, TimePoint aNow)
{
  Log& log = mHistories[aService];
  log.mRequests.push_back(aNow);
  Forget(log, aNow);
}

bool
ServerRetryBudget::Spend(const std::string& aService,
                         int aInstances,
                         TimePoint aNow)
{
  Log& log = mHistories[aService];
  Forget(log, aNow);
  double allowed = mLimits.mRatio * static_cast<double>(log.mRequests.size()) +
                   mLimits.mSlack / std::max(1, aInstances);
  if (static_cast<double>(log.mRepeats.size() + 1) > kPlannedShare * allowed) {
    return false;
  }
  log.mRepeats.push_back(aNow);
  return true;
}

} // namespace caraway
