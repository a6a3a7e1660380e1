// A zone's lease holder that is lost, in a fleet in which a heartbeat reaches
// only a part of the instances.

#include <gtest/gtest.h>

#include <optional>

#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// The running instance of aZone that holds the zone's lease, or none.
std::optional<size_t>
HolderIn(EntryTestFleet& aFleet, const std::string& aZone)
{
  for (size_t i = 0; i < aFleet.Instances(); ++i) {
    EntryDaemon& instance = *aFleet.mInstances[i];
    if (instance.State().mSettings.mZone == aZone &&
        aFleet.mFrozen.count(i) == 0 && instance.HoldsLease()) {
      return i;
    }
  }
  return std::nullopt;
}

} // namespace

// Guards against a zone that gets no loads for as long as its dead lease holder
// may be silent without being missed: in a fleet of hundreds nearly a minute.
TEST(LostHolder, IsReplacedOnceItsLeaseIsOver)
{
  constexpr Millis kLeaseLength{ 6000 };
  constexpr Millis kNoticeTime{ 1500 };
  constexpr Millis kAcquireTime{ 1000 };
  EntryTestFleet fleet(TwoLargeZones(Millis(5)));
  fleet.AwaitReady();
  fleet.RunFor(Millis(2000));
  std::optional<size_t> holder = HolderIn(fleet, "a");
  ASSERT_TRUE(holder);
  fleet.mFrozen.insert(*holder);
  EXPECT_TRUE(fleet.RunUntil([&] { return HolderIn(fleet, "a").has_value(); },
                             kLeaseLength + kNoticeTime + kAcquireTime));
}

} // namespace caraway
