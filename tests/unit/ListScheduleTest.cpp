#include <gtest/gtest.h>

#include "decide/ListSchedule.h"

namespace caraway {

namespace {

// Reads of one instance of aInstances in aTime from its start.
int
ReadsWithin(Millis aTime, int aInstances)
{
  ListSchedule schedule;
  int reads = 0;
  for (Millis at = schedule.Wait(false); at < aTime;
       at += schedule.Wait(false)) {
    ++reads;
    schedule.OnRead(true, aInstances);
  }
  return reads;
}

// Guards against a fleet whose calls to the store grow with its instances
// squared, as each reads a list of all of them at a fixed interval.
TEST(ListSchedule, FleetReadsTheListTenTimesASecondAtMost)
{
  constexpr Seconds kHour{ 3600 };
  constexpr Seconds kStart{ 300 }; // its first reads are no reads at rest
  constexpr double kMostPerSecond = 10;
  for (int instances : { 6, 72, 300, 1000 }) {
    int reads =
      ReadsWithin(kStart + kHour, instances) - ReadsWithin(kStart, instances);
    double perSecond = instances * reads / static_cast<double>(kHour.count());
    EXPECT_LE(perSecond, kMostPerSecond) << instances << " instances";
  }
}

// Guards against a start of the whole fleet that is mostly reads of the list.
TEST(ListSchedule, StartOfALargeFleetReadsFewLists)
{
  constexpr Seconds kStart{ 15 };
  EXPECT_LE(ReadsWithin(kStart, 300), 3);
}

// Guards against a small fleet that learns of new instances late.
TEST(ListSchedule, SmallFleetReadsEveryTenSeconds)
{
  constexpr Seconds kTime{ 100 };
  EXPECT_GE(ReadsWithin(kTime, 6), 10);
}

// Guards against an instance that stops spending tokens, or never starts,
// because it waits for its turn to read.
TEST(ListSchedule, NeededListIsReadWithinASecond)
{
  ListSchedule schedule;
  for (int i = 0; i < 10; ++i) {
    schedule.OnRead(true, 1000);
    EXPECT_LE(schedule.Wait(true), Millis(1000));
  }
  schedule.OnRead(false, 1000);
  EXPECT_LE(schedule.Wait(true), Millis(300));
}

} // namespace

} // namespace caraway
