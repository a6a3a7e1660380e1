// Retry times given to refused requests, and what is observed of tenants.

#include <gtest/gtest.h>

#include "decide/RetrySchedule.h"

namespace caraway {

namespace {

const TimePoint kStart = TimePoint(Seconds(1000));

const char* const kTenant = "acme";

// Refuses ten callers who don't return. Returns the time after it.
TimePoint
RefuseTenWhoStayAway(RetrySchedule& aRetries, TimePoint aNow)
{
  for (uint64_t i = 0; i < 10; ++i) {
    aRetries.Add(kTenant, i, 100, aNow);
  }
  TimePoint later = aNow + Seconds(10);
  aRetries.Expire(later);
  return later;
}

double
ProbabilityAt(RetrySchedule& aRetries, TimePoint aNow)
{
  aRetries.Expire(aNow);
  aRetries.Add(kTenant, 1, 100, aNow + Seconds(1));
  return aRetries.ReturnProbability(kTenant);
}

} // namespace

// Guards against a rate that is kept for each tenant ever refused: the memory
// used grows, and a tenant that returns much later is judged by it.
TEST(RetrySchedule, ReturnRateOfLongAgoIsForgotten)
{
  RetrySchedule retries;
  double initial = ProbabilityAt(retries, kStart);
  TimePoint later = RefuseTenWhoStayAway(retries, kStart + Seconds(10));
  EXPECT_EQ(initial, ProbabilityAt(retries, later + Seconds(24 * 3600)));
}

// Guards against a rate that a calm time of a few minutes erases.
TEST(RetrySchedule, ReturnRateOutlastsACalmTime)
{
  RetrySchedule retries;
  double initial = ProbabilityAt(retries, kStart);
  TimePoint later = RefuseTenWhoStayAway(retries, kStart + Seconds(10));
  EXPECT_GT(initial / 2, ProbabilityAt(retries, later + Seconds(600)));
}

} // namespace caraway
