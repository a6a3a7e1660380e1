// The order of waiting requests. The load: an instance with a few requests a
// second, most of them urgent, and batch requests for the same model beside
// them; one tenant at times sends several times its usual rate.

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
  WaitingRequest request{ "engine m0", aClass, aTenant };
  request.mTokens = 100;
  request.mArrived = kStart + aArrived;
  request.mStartBy = request.mArrived + 4 * target;
  request.mTarget = target;
  return request;
}

using Order = std::vector<size_t>;

} // namespace

// Guards against a batch request with an early deadline that goes before an
// urgent one.
TEST(DispatchOrder, ClassGoesBeforeDeadline)
{
  DispatchOrder order;
  std::vector<WaitingRequest> waiting = { Request(kBatch, "a", Millis(0)),
                                          Request(kUrgent, "a", Millis(900)) };
  waiting[0].mStartBy = kStart + Millis(950);
  EXPECT_EQ((Order{ 1, 0 }), order.Sorted(waiting, kStart + Seconds(1)));
}

// Guards against a tenant in overload that delays the requests of others: its
// queue of ten yields the second place, and all places until the others have
// had as many tokens.
TEST(DispatchOrder, TenantsAlternate)
{
  DispatchOrder order;
  std::vector<WaitingRequest> waiting;
  for (int i = 0; i < 10; ++i) {
    waiting.push_back(Request(kUrgent, "flood", Millis(i)));
  }
  waiting.push_back(Request(kUrgent, "small", Millis(100)));
  TimePoint now = kStart + Millis(200);
  EXPECT_EQ(10u, order.Sorted(waiting, now)[1]);
  order.OnDispatched(waiting[0], now);
  EXPECT_EQ(10u, order.Sorted(waiting, now)[0]);
}

// Guards against an idle tenant that saves up a claim to all slots, and against
// one that pays for ever for a burst.
TEST(DispatchOrder, ServedTokensFade)
{
  DispatchOrder order;
  for (int i = 0; i < 100; ++i) {
    order.OnDispatched(Request(kUrgent, "former", Millis(0)), kStart);
  }
  Millis later = std::chrono::minutes(2);
  order.OnDispatched(Request(kUrgent, "now", later), kStart + later);
  std::vector<WaitingRequest> waiting = { Request(kUrgent, "now", later),
                                          Request(kUrgent, "former", later) };
  EXPECT_EQ((Order{ 1, 0 }), order.Sorted(waiting, kStart + later));
}

// Guards against a batch class that never gets a slot because urgent requests
// for its model always wait, and against one that gets more than one late
// answer in each of its target times.
TEST(DispatchOrder, StarvedClassGetsOneSlotWhenLate)
{
  DispatchOrder order;
  std::vector<WaitingRequest> waiting = { Request(kUrgent, "a", Millis(1900)),
                                          Request(kBatch, "a", Millis(0)),
                                          Request(kBatch, "a", Millis(10)) };
  EXPECT_EQ((Order{ 0, 1, 2 }), order.Sorted(waiting, kStart + Millis(2000)));
  TimePoint late = kStart + Millis(2100);
  EXPECT_EQ((Order{ 1, 0, 2 }), order.Sorted(waiting, late));
  order.OnDispatched(waiting[1], late);
  waiting.erase(waiting.begin() + 1);
  EXPECT_EQ((Order{ 0, 1 }), order.Sorted(waiting, late));
  EXPECT_FALSE(order.Starved(waiting[1], late));
}

} // namespace caraway
