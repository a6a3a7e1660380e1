// The order of waiting requests. The load: an instance with a few requests a
// second, batch requests for a model beside urgent ones, and a tenant that at
// times sends several times its usual rate.

#include <gtest/gtest.h>

#include "decide/DispatchOrder.h"

namespace caraway {

namespace {

constexpr int kUrgent = 1;
constexpr int kBatch = 5;
const TimePoint kStart{ Seconds(1000) };

WaitingRequest
Request(int aClass, const std::string& aTenant, Millis aArrived)
{
  Millis target = aClass == kUrgent ? Millis(500) : Millis(2000);
  TimePoint arrived = kStart + aArrived;
  return { "engine m0",          aClass, aTenant, 100, arrived,
           arrived + 4 * target, target };
}

using Order = std::vector<size_t>;

} // namespace

// Guards against a tenant in overload that delays the requests of others, and
// against one that pays for its burst for ever.
TEST(DispatchOrder, TenantsAlternate)
{
  DispatchOrder order;
  std::vector<WaitingRequest> waiting(10, Request(kUrgent, "flood", Millis(0)));
  waiting.push_back(Request(kUrgent, "small", Millis(100)));
  TimePoint now = kStart + Millis(200);
  EXPECT_EQ(10u, order.Sorted(waiting, now)[1]);
  order.OnDispatched(waiting[0], now);
  EXPECT_EQ(10u, order.Sorted(waiting, now)[0]);
  EXPECT_EQ(10u, order.Sorted(waiting, now + Seconds(1))[0]); // all late
  now += std::chrono::minutes(2);
  order.OnDispatched(waiting[10], now);
  EXPECT_NE(10u, order.Sorted(waiting, now)[0]);
}

// Guards against a batch class that never gets a slot because urgent requests
// always wait, and against one that gets more than a late answer for each of
// its target times, or one before it is late.
TEST(DispatchOrder, StarvedClassGetsOneSlotWhenLate)
{
  DispatchOrder order;
  std::vector<WaitingRequest> waiting = { Request(kUrgent, "a", Millis(1900)),
                                          Request(kBatch, "a", Millis(0)),
                                          Request(kBatch, "a", Millis(10)) };
  waiting[1].mStartBy = kStart + Millis(2200);
  EXPECT_EQ((Order{ 0, 1, 2 }), order.Sorted(waiting, kStart + Millis(2000)));
  TimePoint late = kStart + Millis(2100);
  EXPECT_EQ((Order{ 1, 0, 2 }), order.Sorted(waiting, late));
  order.OnDispatched(waiting[1], late);
  waiting.erase(waiting.begin() + 1);
  EXPECT_EQ((Order{ 0, 1 }), order.Sorted(waiting, late));
}

} // namespace caraway
