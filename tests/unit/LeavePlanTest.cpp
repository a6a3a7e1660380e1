// What an instance may start while it shuts down, at the bounds of its times.

#include <gtest/gtest.h>

#include "decide/LeavePlan.h"

namespace caraway {

namespace {

const TimePoint kNow = TimePoint(Seconds(1000));

LeavePlan
LeavingPlan(Millis aGrace)
{
  LeaveTimes times;
  times.mGrace = aGrace;
  LeavePlan plan;
  plan.Begin(kNow, times);
  return plan;
}

} // namespace

// Guards against an instance in service that refuses long requests.
TEST(LeavePlan, InServiceEverythingMayStart)
{
  LeavePlan plan;
  EXPECT_FALSE(plan.Leaving());
  EXPECT_TRUE(plan.ExpectsCallers(kNow));
  EXPECT_TRUE(plan.MayStart(kNow, kNow + Seconds(600), Seconds(600)));
  EXPECT_TRUE(plan.MayContinue(kNow));
  EXPECT_EQ(TimePoint::max(), plan.End());
}

// Guards against off-by-one errors at the end of the load balancer's lag and at
// the end of the plan.
TEST(LeavePlan, TimesEndExactlyAtTheirBounds)
{
  LeavePlan plan = LeavingPlan(Seconds(8));
  EXPECT_TRUE(plan.Leaving());
  EXPECT_EQ(kNow + Millis(7500), plan.End());
  EXPECT_TRUE(plan.ExpectsCallers(kNow + Millis(2499)));
  EXPECT_FALSE(plan.ExpectsCallers(kNow + Millis(2500)));
  EXPECT_TRUE(plan.MayContinue(kNow + Millis(7499)));
  EXPECT_FALSE(plan.MayContinue(kNow + Millis(7500)));
}

// Guards against refusing a request whose deadline puts its answer before the
// end.
TEST(LeavePlan, AnswerBeforeTheEndMayStartAnyTime)
{
  LeavePlan plan = LeavingPlan(Seconds(8));
  TimePoint late = kNow + Millis(7000);
  EXPECT_TRUE(plan.MayStart(late, plan.End(), Millis(0)));
  EXPECT_FALSE(plan.MayStart(late, plan.End() + Millis(1), Millis(0)));
}

// Guards against starting a request of the last callers although such requests
// usually take longer than the time left.
TEST(LeavePlan, LastCallersAreJudgedByUsualTime)
{
  LeavePlan plan = LeavingPlan(Seconds(8));
  TimePoint never = kNow + Seconds(600);
  TimePoint last = kNow + Millis(2499);
  Millis left{ 5001 };
  EXPECT_TRUE(plan.MayStart(last, never, Millis(0)));
  EXPECT_TRUE(plan.MayStart(last, never, left));
  EXPECT_FALSE(plan.MayStart(last, never, left + Millis(1)));
  EXPECT_FALSE(plan.MayStart(last + Millis(1), never, Millis(0)));
}

// Guards against a process that is killed at the end of its grace period
// instead of exiting, and against one that exits before its last answers are
// sent.
TEST(LeavePlan, ExitLiesBetweenTheLastAnswersAndTheKill)
{
  for (Millis grace : { Millis(0), Millis(300), Millis(700), Millis(8000) }) {
    LeavePlan plan = LeavingPlan(grace);
    EXPECT_LE(plan.End() + Millis(200), plan.Exit()) << grace.count();
  }
  EXPECT_EQ(kNow + Millis(7800), LeavingPlan(Seconds(8)).Exit());
  EXPECT_EQ(TimePoint::max(), LeavePlan().Exit());
}

// Guards against spending a short grace period on new callers alone.
TEST(LeavePlan, ShortGraceIsMostlyForRequestsInFlight)
{
  LeavePlan plan = LeavingPlan(Seconds(3));
  EXPECT_FALSE(plan.ExpectsCallers(kNow + Seconds(1)));
  EXPECT_EQ(kNow + Millis(2500), plan.End());
}

// Guards against starting a request at the end itself, when only the last
// answers are sent.
TEST(LeavePlan, NothingStartsAtTheEnd)
{
  for (Millis grace : { Millis(0), Millis(300), Millis(700), Millis(8000) }) {
    LeavePlan plan = LeavingPlan(grace);
    TimePoint end = plan.End();
    EXPECT_FALSE(plan.MayStart(end, end, Millis(0))) << grace.count();
    EXPECT_FALSE(plan.MayStart(end, end + Seconds(9), Millis(0)))
      << grace.count();
    EXPECT_FALSE(plan.MayContinue(end)) << grace.count();
  }
}

// Guards against a grace period below the margin that puts the end before the
// signal.
TEST(LeavePlan, GraceBelowTheMarginEndsAtOnce)
{
  LeavePlan plan = LeavingPlan(Millis(200));
  EXPECT_EQ(kNow, plan.End());
}

// Guards against a plan that extends beyond a shortened grace period.
TEST(LeavePlan, ShorterGraceMovesTheEndEarlier)
{
  LeavePlan plan = LeavingPlan(Seconds(8));
  plan.Shorten(Seconds(3));
  EXPECT_EQ(kNow + Millis(2500), plan.End());
  EXPECT_FALSE(plan.ExpectsCallers(kNow + Seconds(1)));
  plan.Shorten(Seconds(20));
  EXPECT_EQ(kNow + Millis(2500), plan.End());
}

// Guards against reloaded settings that make an instance in service refuse
// requests.
TEST(LeavePlan, InServiceNothingIsShortened)
{
  LeavePlan plan;
  plan.Shorten(Seconds(1));
  EXPECT_EQ(TimePoint::max(), plan.End());
  EXPECT_TRUE(plan.ExpectsCallers(kNow));
}

// Guards against a plan that outlasts the platform's kill: the process was
// stopped when its signal was sent, and the grace period has run since.
TEST(LeavePlan, TimeBeforeTheSignalIsNoticedIsTakenOffTheGrace)
{
  LeaveTimes times;
  times.mGrace = Seconds(8);
  times.mNoticedAfter = Seconds(5);
  LeavePlan plan;
  plan.Begin(kNow, times);
  EXPECT_EQ(kNow + Millis(2500), plan.End());
  EXPECT_TRUE(plan.ExpectsCallers(kNow + Millis(999)));
  EXPECT_FALSE(plan.ExpectsCallers(kNow + Millis(1000)));
  plan.Shorten(Seconds(6));
  EXPECT_EQ(kNow + Millis(500), plan.End());
  plan.Shorten(Seconds(4));
  EXPECT_EQ(kNow, plan.End());
}

} // namespace caraway
