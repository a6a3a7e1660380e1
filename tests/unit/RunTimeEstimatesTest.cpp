// Estimates of how long requests take, by route.

#include <gtest/gtest.h>

#include <string>

#include "decide/RunTimeEstimates.h"

namespace caraway {

namespace {

const char* const kRoute = "chat";

} // namespace

// Guards against an unknown route that is taken for slow.
TEST(RunTimeEstimates, UnknownRouteIsZero)
{
  RunTimeEstimates times;
  times.Record("other", Seconds(9));
  EXPECT_EQ(Millis(0), times.UsualTime(kRoute));
}

// Guards against a first run that is ignored.
TEST(RunTimeEstimates, FirstRunAlreadyCounts)
{
  RunTimeEstimates times;
  times.Record(kRoute, Millis(1000));
  EXPECT_LE(Millis(1000), times.UsualTime(kRoute));
}

// Guards against an estimate that doesn't narrow when all runs take the same
// time.
TEST(RunTimeEstimates, EqualRunsConvergeToTheirDuration)
{
  RunTimeEstimates times;
  for (int i = 0; i < 100; ++i) {
    times.Record(kRoute, Millis(1000));
  }
  EXPECT_LE(Millis(999), times.UsualTime(kRoute));
  EXPECT_GE(Millis(1001), times.UsualTime(kRoute));
}

// Guards against an estimate that half of the runs exceed.
TEST(RunTimeEstimates, FewRunsTakeLonger)
{
  RunTimeEstimates times;
  int over = 0;
  constexpr int kRuns = 1000;
  for (int i = 0; i < kRuns; ++i) {
    Millis took(1000 + (i * 7919) % 3000); // spread evenly over 1 s to 4 s
    over += i > 0 && took > times.UsualTime(kRoute) ? 1 : 0;
    times.Record(kRoute, took);
  }
  EXPECT_GE(kRuns / 10, over);
}

// Guards against a route that became slower and is still taken for fast.
TEST(RunTimeEstimates, FollowsARouteThatBecomesSlower)
{
  RunTimeEstimates times;
  for (int i = 0; i < 100; ++i) {
    times.Record(kRoute, Millis(100));
  }
  for (int i = 0; i < 10; ++i) {
    times.Record(kRoute, Millis(5000));
  }
  EXPECT_LE(Millis(5000), times.UsualTime(kRoute));
}

// Guards against one slow run after which a fast route is taken for slow for
// long.
TEST(RunTimeEstimates, SlowOutlierIsForgottenWithinTenRuns)
{
  RunTimeEstimates times;
  for (int i = 0; i < 100; ++i) {
    times.Record(kRoute, Millis(100));
  }
  times.Record(kRoute, Seconds(20));
  for (int i = 0; i < 10; ++i) {
    times.Record(kRoute, Millis(100));
  }
  EXPECT_GE(Millis(5000), times.UsualTime(kRoute));
}

// Guards against routes of old configurations that are kept forever.
TEST(RunTimeEstimates, RoutesAreBounded)
{
  RunTimeEstimates times;
  for (int i = 0; i < 20000; ++i) {
    times.Record("route-" + std::to_string(i), Millis(100));
  }
  EXPECT_GE(4096u, times.Size());
  EXPECT_NE(Millis(0), times.UsualTime("route-19999"));
}

} // namespace caraway
