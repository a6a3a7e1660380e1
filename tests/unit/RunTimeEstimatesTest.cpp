// Estimates of how long requests take, by route.

#include <gtest/gtest.h>

#include <string>

#include "decide/RunTimeEstimates.h"

namespace caraway {

namespace {

const char* const kRoute = "chat";

constexpr double kIdle = 0; // load of a server without requests
constexpr double kFull = 1; // of one whose slots are all in use

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

// Guards against a long stream that is judged by the short ones of its route,
// and is started where it can't finish.
TEST(RunTimeEstimates, LongStreamsAreToldFromShortOnes)
{
  RunTimeEstimates times;
  for (int i = 0; i < 20; ++i) {
    times.Record(kRoute, Millis(800), { 100, kIdle });
    times.Record(kRoute, Millis(5000), { 1000, kIdle });
  }
  EXPECT_GT(Millis(2000), times.UsualTime(kRoute, { 100, kIdle }));
  EXPECT_LE(Millis(5000), times.UsualTime(kRoute, { 1000, kIdle }));
}

// Guards against an instance that has only seen short streams and takes a long
// one for as short.
TEST(RunTimeEstimates, LongerStreamThanAnySeenTakesLonger)
{
  RunTimeEstimates times;
  for (int i = 0; i < 5; ++i) {
    times.Record(kRoute, Millis(1000), { 100, kIdle });
  }
  EXPECT_LE(Millis(1500), times.TypicalTime(kRoute, { 1000, kIdle }));
}

// Guards against a stream that is started at a server whose slots are all in
// use, where each token takes longer, and can't finish.
TEST(RunTimeEstimates, StreamOnABusyServerTakesLonger)
{
  RunTimeEstimates times;
  for (int i = 0; i < 20; ++i) {
    times.Record(kRoute, Millis(1000), { 200, kIdle });
    times.Record(kRoute, Millis(3000), { 200, kFull });
  }
  EXPECT_GT(Millis(2000), times.TypicalTime(kRoute, { 200, kIdle }));
  EXPECT_LE(Millis(2000), times.TypicalTime(kRoute, { 200, kFull }));
}

// Guards against a request without an estimate of its length that is taken for
// an empty one.
TEST(RunTimeEstimates, UnknownLengthIsTakenForAMeanOne)
{
  RunTimeEstimates times;
  for (int i = 0; i < 20; ++i) {
    times.Record(kRoute, Millis(2000), { 100, kIdle });
    times.Record(kRoute, Millis(4000), { 400, kIdle });
  }
  EXPECT_LE(Millis(2000), times.TypicalTime(kRoute));
  EXPECT_GE(Millis(4000), times.TypicalTime(kRoute));
}

// Guards against estimates that a newly started instance spoils by the order in
// which long and short streams end.
TEST(RunTimeEstimates, FirstStreamsMayComeInAnyOrder)
{
  for (bool longFirst : { false, true }) {
    RunTimeEstimates times;
    for (int i = 0; i < 6; ++i) {
      bool isLong = (i % 2 == 0) == longFirst;
      times.Record(kRoute,
                   isLong ? Millis(4000) : Millis(1000),
                   { isLong ? 1600.0 : 100.0, kIdle });
    }
    EXPECT_GT(Millis(2000), times.TypicalTime(kRoute, { 100, kIdle }));
    EXPECT_LT(Millis(2500), times.TypicalTime(kRoute, { 1600, kIdle }));
  }
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
