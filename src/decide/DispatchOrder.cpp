#include "decide/DispatchOrder.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Longer than any request waits.
constexpr Seconds kDispatchMemory{ 60 };

// Place of a request in the order.
struct Place
{
  bool mStarved = false;
  double mServedBefore = 0; // tokens of its tenant, those ahead of it included
};

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
  std::vector<Place> places(aWaiting.size());
  std::map<std::string, double> served; // by class and tenant
  std::set<PoolClass> starved;
  for (size_t i : order) {
    const WaitingRequest& request = aWaiting[i];
    double& tokens =
      served.try_emplace(TenantKey(request), ServedTokens(request, aNow))
        .first->second;
    places[i].mServedBefore = tokens;
    tokens += request.mTokens;
    places[i].mStarved =
      Starved(request, aNow) &&
      starved.insert({ request.mPool, request.mClass }).second;
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t aOne, size_t aOther) {
    return std::make_tuple(!places[aOne].mStarved,
                           aWaiting[aOne].mClass,
                           places[aOne].mServedBefore) <
           std::make_tuple(!places[aOther].mStarved,
                           aWaiting[aOther].mClass,
                           places[aOther].mServedBefore);
  });
  return order;
}

void
DispatchOrder::OnDispatched(const WaitingRequest& aRequest, TimePoint aNow)
{
  ForgetOld(aNow);
  mServed.Add(TenantKey(aRequest), aRequest.mTokens, aNow);
  mDispatchedAt[{ aRequest.mPool, aRequest.mClass }] = aNow;
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
