#include "decide/DispatchOrder.h"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Longer than requests usually wait.
constexpr Seconds kDispatchMemory{ 60 };

std::string
TenantKey(const WaitingRequest& aRequest)
{
  return std::to_string(aRequest.mClass) + " " + aRequest.mTenant;
}

} // namespace

double
DispatchOrder::ServedTokens(const WaitingRequest& aRequest,
                            TimePoint aNow) const
{
  std::chrono::duration<double> memory = DemandTracker::kMemory;
  return mServed.Rate(TenantKey(aRequest), aNow) * memory.count();
}

bool
DispatchOrder::Starved(const WaitingRequest& aRequest, TimePoint aNow) const
{
  if (aNow - aRequest.mArrived <= aRequest.mTarget) {
    return false;
  }
  auto last = mDispatchedAt.find({ aRequest.mPool, aRequest.mClass });
  return last == mDispatchedAt.end() || last->second < aRequest.mArrived;
}

std::vector<size_t>
DispatchOrder::Sorted(const std::vector<WaitingRequest>& aWaiting,
                      TimePoint aNow) const
{
  std::vector<size_t> order(aWaiting.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](size_t aOne, size_t aOther) {
    const WaitingRequest& one = aWaiting[aOne];
    const WaitingRequest& other = aWaiting[aOther];
    return std::tie(one.mStartBy, one.mArrived) <
           std::tie(other.mStartBy, other.mArrived);
  });
  // Tokens of each request's tenant, those of requests ahead of it included.
  std::vector<double> servedBefore(aWaiting.size());
  std::map<std::string, double> served; // by class and tenant
  for (size_t i : order) {
    const WaitingRequest& request = aWaiting[i];
    double& tokens =
      served.try_emplace(TenantKey(request), ServedTokens(request, aNow))
        .first->second;
    servedBefore[i] = tokens;
    tokens += request.mTokens;
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t aOne, size_t aOther) {
    return std::tie(aWaiting[aOne].mClass, servedBefore[aOne]) <
           std::tie(aWaiting[aOther].mClass, servedBefore[aOther]);
  });
  std::set<size_t> starved = FirstStarved(aWaiting, order, aNow);
  std::stable_partition(order.begin(), order.end(), [&starved](size_t aIndex) {
    return starved.count(aIndex) > 0;
  });
  return order;
}

// Returns one starved request of each pool and class that waits behind a more
// urgent class.
std::set<size_t>
DispatchOrder::FirstStarved(const std::vector<WaitingRequest>& aWaiting,
                            const std::vector<size_t>& aOrder,
                            TimePoint aNow) const
{
  std::set<size_t> starved;
  std::set<PoolClass> found;
  std::map<std::string, int> mostUrgent; // class by pool
  for (size_t i : aOrder) {
    const WaitingRequest& request = aWaiting[i];
    int first =
      mostUrgent.try_emplace(request.mPool, request.mClass).first->second;
    if (first < request.mClass && Starved(request, aNow) &&
        found.insert({ request.mPool, request.mClass }).second) {
      starved.insert(i);
    }
  }
  return starved;
}

void
DispatchOrder::OnDispatched(const WaitingRequest& aRequest, TimePoint aNow)
{
  ForgetOld(aNow);
  mServed.Add(TenantKey(aRequest), aRequest.mTokens, aNow);
  mDispatchedAt[{ aRequest.mPool, aRequest.mClass }] = aNow;
}

void
DispatchOrder::OnRejected(const WaitingRequest& aRequest, TimePoint aNow)
{
  mServed.Add(TenantKey(aRequest), -aRequest.mTokens, aNow);
}

void
DispatchOrder::ForgetOld(TimePoint aNow)
{
  if (aNow - mForgotAt < kDispatchMemory) {
    return;
  }
  mForgotAt = aNow;
  EraseIf(mDispatchedAt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kDispatchMemory;
  });
}

} // namespace caraway
