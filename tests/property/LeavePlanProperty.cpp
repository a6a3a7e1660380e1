// What an instance may start while it shuts down, for any times and points.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "decide/LeavePlan.h"

namespace caraway {

namespace {

constexpr int kMaxMs = 20000;

Millis
AnyTime()
{
  return Millis(*rc::gen::inRange(0, kMaxMs));
}

// Half of the points are near aEdge, where mistakes are likely.
TimePoint
AnyPoint(TimePoint aFrom, TimePoint aEdge)
{
  bool near = *rc::gen::arbitrary<bool>();
  return near ? aEdge + Millis(*rc::gen::inRange(-2, 3)) : aFrom + AnyTime();
}

} // namespace

// Guards against a request that the instance's exit cuts off: whatever may
// start has its answer before the end, or belongs to the last callers and
// usually fits; at or after the end nothing starts.
RC_GTEST_PROP(LeavePlan, WhatStartsHasItsAnswerBeforeTheEnd, ())
{
  TimePoint now = TimePoint(Seconds(1000));
  LeaveTimes times;
  times.mGrace = AnyTime();
  times.mBalancerLag = AnyTime();
  times.mEndMargin = AnyTime();
  LeavePlan plan;
  plan.Begin(now, times);
  RC_ASSERT(plan.End() >= now);
  RC_ASSERT(plan.End() <= now + times.mGrace);
  for (int i = 0; i < 20; ++i) {
    TimePoint start = AnyPoint(now, plan.End());
    TimePoint answerBy = std::max(start, AnyPoint(start, plan.End()));
    Millis usual = AnyTime();
    bool bounded = answerBy <= plan.End();
    bool fits = plan.ExpectsCallers(start) && start + usual <= plan.End();
    if (plan.MayStart(start, answerBy, usual)) {
      RC_ASSERT(bounded || fits);
      RC_ASSERT(start < plan.End());
    } else {
      RC_ASSERT(start >= plan.End() || (!bounded && !fits));
    }
    RC_ASSERT(plan.MayContinue(start) == (start < plan.End()));
  }
}

// Guards against an instance that hands its tokens over and expects callers
// again afterwards: once callers are no longer expected, they never are again.
RC_GTEST_PROP(LeavePlan, CallersAreNeverExpectedAgain, ())
{
  TimePoint now = TimePoint(Seconds(1000));
  LeaveTimes times;
  times.mGrace = AnyTime();
  times.mBalancerLag = AnyTime();
  LeavePlan plan;
  plan.Begin(now, times);
  TimePoint one = now + AnyTime();
  TimePoint later = one + AnyTime();
  RC_ASSERT(plan.ExpectsCallers(one) || !plan.ExpectsCallers(later));
  RC_ASSERT(!plan.ExpectsCallers(now + times.mBalancerLag));
}

} // namespace caraway
