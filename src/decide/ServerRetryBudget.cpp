#include "decide/ServerRetryBudget.h"

#include <algorithm>
#include <cmath>

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
    Allowed(static_cast<double>(history.mRequests.size()), aInstances);
  if (static_cast<double>(history.mRetries.size() + 1) > allowed) {
    return false;
  }
  history.mRetries.push_back(aNow);
  return true;
}

double
ServerRetryBudget::Allowed(double aRequests, int aInstances) const
{
  return kPlannedShare * (mLimits.mRatio * aRequests +
                          mLimits.mSlack / std::max(1, aInstances));
}

std::optional<TimePoint>
ServerRetryBudget::NextAt(const std::string& aService,
                          int aInstances,
                          TimePoint aNow)
{
  History& recent = mHistories[aService];
  DropOld(recent, aNow);
  auto requests = static_cast<double>(recent.mRequests.size());
  size_t retries = recent.mRetries.size();
  if (static_cast<double>(retries + 1) <= Allowed(requests, aInstances)) {
    return aNow;
  }
  // As many as may come by chance at the same rate.
  double allowed = Allowed(requests + std::sqrt(requests), aInstances);
  if (allowed < 1) {
    return std::nullopt;
  }
  size_t kept = static_cast<size_t>(allowed) - 1; // beside the new one
  if (retries <= kept) {
    return aNow;
  }
  return recent.mRetries[retries - kept - 1] + mLimits.mWindow;
}

} // namespace caraway
