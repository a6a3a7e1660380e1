// The pace of servers by their own reports, which age and may be false.

#include <gtest/gtest.h>

#include "decide/ServerPace.h"

namespace caraway {

namespace {

constexpr double kSlow = 2.5;

const TimePoint kStart = TimePoint(Seconds(1000));

// Reports aPace twice a second for aTime; returns the time of the last report.
TimePoint
ReportFor(ServerPace& aServer, double aPace, Seconds aTime)
{
  TimePoint at = kStart;
  while (at < kStart + aTime) {
    at += Millis(500);
    aServer.Record(aPace, at);
  }
  return at;
}

} // namespace

// Guards against a server that stays shunned after one slow moment.
TEST(ServerPace, OldReportLosesItsWeight)
{
  ServerPace server;
  TimePoint now = ReportFor(server, 1, Seconds(30));
  server.Record(kSlow, now + Millis(10));
  EXPECT_NEAR(kSlow, server.Estimate(now + Millis(10)), 0.05);
  EXPECT_NEAR(1.75, server.Estimate(now + Millis(1010)), 0.1);
  EXPECT_NEAR(1, server.Estimate(now + Seconds(5)), 0.15);
}

// Guards against a server that is always slow and counts as usual between two
// reports.
TEST(ServerPace, ReturnsToTheServersOwnMean)
{
  ServerPace server;
  TimePoint now = ReportFor(server, kSlow, Seconds(60));
  EXPECT_NEAR(kSlow, server.Estimate(now + Seconds(4)), 0.2);
  // But one that isn't asked any more is tried again.
  EXPECT_NEAR(1, server.Estimate(now + Seconds(120)), 0.1);
}

// Guards against absurd figures that exclude a server, or attract all requests,
// and against an old report that arrives after a newer one.
TEST(ServerPace, AbsurdAndOvertakenReportsAreBounded)
{
  ServerPace idle;
  ServerPace stuck;
  TimePoint now = ReportFor(idle, 0.1, Seconds(60));
  ReportFor(stuck, 100, Seconds(60));
  EXPECT_GE(idle.Estimate(now), 0.5);
  EXPECT_LE(stuck.Estimate(now), 5);
  double before = stuck.Estimate(now);
  stuck.Record(1, now - Millis(300));
  EXPECT_DOUBLE_EQ(before, stuck.Estimate(now));
}

} // namespace caraway
