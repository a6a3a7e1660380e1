// The forecast of a slot. The load: a model on three servers of 12 slots, runs
// of 600 ms, so a slot comes free every 17 ms; up to 80 instances want it, and
// none sees how many wait at the others.

#include <cmath>
#include <gtest/gtest.h>
#include <random>

#include "decide/SlotForecast.h"

namespace caraway {

namespace {

const std::string kPool = "engine m0";
const TimePoint kStart{ Seconds(1000) };
constexpr Millis kAttempts{ 25 };
constexpr Millis kLeft{ 1880 }; // that a new request can wait

SlotFacts
Facts(int aAhead, int aInstances = 80)
{
  return { 36, Millis(600), aAhead, aInstances };
}

// Requests wait for aTime, and this instance gets every aCompeting-th slot on
// average. Returns the end.
TimePoint
Compete(SlotForecast& aForecast,
        Millis aTime,
        double aCompeting,
        std::mt19937& aRandom)
{
  std::poisson_distribution<> taken(25.0 / (600.0 / 36) / aCompeting);
  TimePoint now = kStart;
  for (; now < kStart + aTime; now += kAttempts) {
    aForecast.OnWaiting(kPool, Facts(1), now);
    for (int slots = taken(aRandom); slots > 0; --slots) {
      aForecast.OnSlotTaken(kPool, now);
    }
  }
  return now;
}

bool
Refused(const SlotForecast& aForecast,
        const SlotFacts& aFacts,
        TimePoint aNow,
        Millis aLeft = kLeft)
{
  auto times = aForecast.Expect(kPool, aFacts, aNow);
  return times && times->mEarliest > aLeft;
}

} // namespace

// Guards against a forecast from run times that nobody knows.
TEST(SlotForecast, UnknownTimesForecastNothing)
{
  SlotForecast forecast;
  RunTimeEstimates runTimes;
  EXPECT_EQ(Millis(0), forecast.RunTime("engine", runTimes, kStart));
  forecast.OnSent("engine", "urgent", kStart);
  forecast.OnSent("engine", "batch", kStart);
  runTimes.Record("urgent", Millis(200));
  EXPECT_EQ(Millis(0), forecast.RunTime("engine", runTimes, kStart));
  EXPECT_FALSE(forecast.Expect(kPool, { 36, Millis(0), 9, 80 }, kStart));
  EXPECT_FALSE(forecast.Expect(kPool, { 0, Millis(600), 9, 80 }, kStart));
}

// Guards against run times of the last few runs only, which are those of one
// route by chance.
TEST(SlotForecast, RunTimeIsThatOfAllRoutes)
{
  SlotForecast forecast;
  RunTimeEstimates runTimes;
  for (int i = 0; i < 30; ++i) {
    forecast.OnSent("engine", i < 20 ? "urgent" : "batch", kStart);
    runTimes.Record(i < 20 ? "urgent" : "batch",
                    i < 20 ? Millis(200) : Millis(1500),
                    { 0, 1 });
  }
  Millis time = forecast.RunTime("engine", runTimes, kStart);
  EXPECT_NEAR(633, static_cast<double>(time.count()), 10);
}

// Guards against a burst at one instance that is taken for one at all of them,
// which would refuse callers whom free slots await.
TEST(SlotForecast, BurstHereIsNotABurstEverywhere)
{
  SlotForecast forecast;
  forecast.OnWaiting(kPool, Facts(0), kStart);
  EXPECT_FALSE(Refused(forecast, Facts(30), kStart));
  // With a single instance the queue here is all there is.
  EXPECT_FALSE(Refused(forecast, Facts(100, 1), kStart));
  EXPECT_TRUE(Refused(forecast, Facts(200, 1), kStart));
}

// Guards against an overload that has ended and is taken to last.
TEST(SlotForecast, ContestEndsWhenNothingWaits)
{
  std::mt19937 random(20261203);
  SlotForecast forecast;
  TimePoint now = Compete(forecast, Seconds(8), 80, random);
  ASSERT_TRUE(Refused(forecast, Facts(30), now));
  EXPECT_FALSE(Refused(forecast, Facts(30), now + Seconds(2)));
}

// Guards against requests that wait for what they can't get: 80 instances want
// the model, and this one gets every 80th slot.
TEST(SlotForecast, LastingOverloadIsNoticed)
{
  std::mt19937 random(20261203);
  int early = 0;
  for (int trial = 0; trial < 100; ++trial) {
    SlotForecast forecast;
    TimePoint now = Compete(forecast, Seconds(8), 80, random);
    early += Refused(forecast, Facts(6), now) ? 1 : 0;
  }
  EXPECT_GE(early, 80);
}

// Guards against refusals of callers that would have been served: of requests
// refused at any place in the queue, for any number of competitors, time left
// and time of observation, at most one in ten would have got a slot in time.
TEST(SlotForecast, RefusesOnlyWhatIsVeryLikelyToMiss)
{
  std::mt19937 random(20261203);
  for (int ahead : { 0, 1, 2, 4, 8 }) {
    double refused = 0;
    double wrong = 0;
    for (int trial = 0; trial < 4000; ++trial) {
      std::uniform_real_distribution<> exponent(0, std::log(80));
      double competing = std::exp(exponent(random));
      Millis seen(std::uniform_int_distribution<>(100, 10000)(random));
      Millis left(std::uniform_int_distribution<>(25, 1880)(random));
      SlotForecast forecast;
      TimePoint now = Compete(forecast, seen, competing, random);
      if (Refused(forecast, Facts(ahead), now, left)) {
        double slots = static_cast<double>(left.count()) / (600.0 / 36);
        std::poisson_distribution<> got(slots / competing);
        refused += 1;
        wrong += got(random) > ahead ? 1 : 0;
      }
    }
    EXPECT_LE(wrong, refused / 10) << ahead;
  }
}

// Guards against refused callers that all return at the same moment.
TEST(SlotForecast, RetryTimesAreASlotApart)
{
  SlotForecast forecast;
  SlotFacts facts = Facts(200, 1);
  auto times = forecast.Expect(kPool, facts, kStart);
  ASSERT_TRUE(times);
  Millis first = forecast.ReserveRetry(kPool, *times, facts, kStart);
  Millis last = first;
  for (int i = 1; i < 60; ++i) {
    last = forecast.ReserveRetry(kPool, *times, facts, kStart);
  }
  EXPECT_EQ(times->mLikely, first);
  EXPECT_NEAR(60 * 600 / 36, (last - first).count(), 70);
}

} // namespace caraway
