// When all instances of a zone have left, an instance of another zone sends
// orders to its servers until an instance of the zone starts.

#include <gtest/gtest.h>

#include <algorithm>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// From the end of a zone's last instance until its servers receive orders.
constexpr Millis kMaxTakeoverTime{ 14000 };

// From the removal of the last entry of a zone whose instances are silent: the
// list is read again, and a full lease must pass.
constexpr Millis kMaxTakeoverAfterRemovalTime{ 24000 };

// From the start of an instance until it sends orders to its zone's servers.
constexpr Millis kMaxHandBackTime{ 6000 };

std::vector<HttpField>
Model(const std::string& aName)
{
  return { { wire::kModel, aName }, { wire::kTokens, "100,50" } };
}

// One instance in each zone; all engines are in zone b.
EntryFleetOptions
TwoZones()
{
  EntryFleetOptions options;
  options.mZones = { "a", "b" };
  return options;
}

struct TwoZoneFleet : EntryTestFleet
{
  explicit TwoZoneFleet(EntryFleetOptions aOptions = TwoZones())
    : EntryTestFleet(std::move(aOptions))
  {
    mStore->Remove(wire::kServersKind, mEngines[0]->Id());
    EXPECT_TRUE(RunUntil(
      [this] {
        for (auto& instance : mInstances) {
          if (instance->State().mServers.Find(mEngines[0]->Id())) {
            return false;
          }
        }
        return true;
      },
      Seconds(4)));
  }

  // The engine of zone b.
  StandInServer& Engine() { return *mEngines[1]; }

  // Shuts the instance down as an operator does.
  void StopInstance(size_t aInstance)
  {
    mInstances[aInstance]->Leave();
    EXPECT_TRUE(
      RunUntil([&] { return mInstances[aInstance]->Gone(); }, Seconds(9)));
    mInstances[aInstance].reset();
  }

  // Sends a request for a model that no server has loaded.
  TestCallPtr RequestModel(size_t aInstance, const std::string& aModel)
  {
    return Call(aInstance,
                "/resume/stream",
                "r" + std::to_string(++mRequestCount),
                Model(aModel));
  }

  // Repeats a request until it is served.
  bool RequestUntilServed(size_t aInstance,
                          const std::string& aModel,
                          Millis aWithin)
  {
    TimePoint end = mClock.Now() + aWithin;
    while (mClock.Now() < end) {
      if (RequestModel(aInstance, aModel)->mStatus == 200) {
        return true;
      }
      RunFor(Millis(100));
    }
    return false;
  }

  void ExpectOneHolderPerToken()
  {
    const std::vector<int64_t>& tokens = Engine().mTokens;
    EXPECT_TRUE(std::is_sorted(tokens.begin(), tokens.end()));
    std::map<int64_t, std::set<std::string>> holders;
    for (const auto& [token, holder] : Engine().mOrderedBy) {
      holders[token].insert(holder);
    }
    for (const auto& [token, names] : holders) {
      EXPECT_EQ(1u, names.size()) << "token " << token;
    }
    EXPECT_EQ(0, Engine().mOverCapacityLoads);
  }

  int mRequestCount = 0;
};

} // namespace

// Guards against servers that stay idle because no instance may send them
// orders.
TEST(EmptyZones, ServersOfEmptyZoneReceiveOrders)
{
  TwoZoneFleet fleet;
  fleet.AwaitReady();
  fleet.StopInstance(1);
  EXPECT_TRUE(fleet.RequestUntilServed(0, "m1", kMaxTakeoverTime));
  EXPECT_EQ(std::set<std::string>{ "i0" }, fleet.Engine().mHolders);
  fleet.ExpectOneHolderPerToken();
}

// Guards against an instance of another zone that keeps the lease of a zone
// whose own instance has started.
TEST(EmptyZones, FirstInstanceOfTheZoneTakesItBack)
{
  TwoZoneFleet fleet;
  fleet.AwaitReady();
  fleet.StopInstance(1);
  ASSERT_TRUE(fleet.RequestUntilServed(0, "m1", kMaxTakeoverTime));
  fleet.mInstances[1] = fleet.MakeInstance(1);
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.mInstances[1]->HoldsLease(); },
                             kMaxHandBackTime));
  EXPECT_TRUE(fleet.RequestUntilServed(0, "m2", kMaxHandBackTime));
  EXPECT_EQ((std::set<std::string>{ "i0", "i1" }), fleet.Engine().mHolders);
  EXPECT_EQ("i1", fleet.Engine().mOrderedBy.back().second);
  fleet.ExpectOneHolderPerToken();
}

// Guards against a zone that is not taken over a second time after it has been
// handed back, or is taken over because of an outdated list.
TEST(EmptyZones, ZoneIsTakenOverAgainWhenItEmptiesAgain)
{
  TwoZoneFleet fleet;
  fleet.AwaitReady();
  fleet.StopInstance(1);
  ASSERT_TRUE(fleet.RequestUntilServed(0, "m1", kMaxTakeoverTime));
  fleet.mInstances[1] = fleet.MakeInstance(1);
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.mInstances[1]->HoldsLease(); },
                             kMaxHandBackTime));
  fleet.StopInstance(1);
  EXPECT_TRUE(fleet.RequestUntilServed(0, "m2", kMaxTakeoverTime));
  EXPECT_EQ("i0", fleet.Engine().mOrderedBy.back().second);
  fleet.ExpectOneHolderPerToken();
}

// Guards against a zone that is taken over because its instances are silent:
// while their entries exist, they may be alive.
TEST(EmptyZones, SilentZoneWithEntriesIsNotTakenOver)
{
  TwoZoneFleet fleet;
  fleet.AwaitReady();
  fleet.mInstances[1].reset(); // killed
  EXPECT_FALSE(fleet.RequestUntilServed(0, "m1", kMaxTakeoverTime));
  EXPECT_TRUE(fleet.Engine().mHolders.empty());
  fleet.mStore->Remove("caraway-instances", "i1");
  EXPECT_TRUE(fleet.RequestUntilServed(0, "m1", kMaxTakeoverAfterRemovalTime));
}

// Guards against two instances of different zones that take over the same zone.
TEST(EmptyZones, OnlyOneInstanceTakesOver)
{
  EntryFleetOptions options;
  options.mZones = { "a", "b", "c" };
  TwoZoneFleet fleet(options);
  fleet.mStore->Remove(wire::kServersKind, fleet.mEngines[2]->Id());
  fleet.AwaitReady();
  fleet.StopInstance(1);
  EXPECT_TRUE(fleet.RequestUntilServed(0, "m1", kMaxTakeoverTime));
  EXPECT_TRUE(fleet.RequestUntilServed(2, "m2", kMaxTakeoverTime));
  EXPECT_EQ(1u, fleet.Engine().mHolders.size());
  fleet.ExpectOneHolderPerToken();
}

// Guards against an instance that shuts down and keeps the leases of other
// zones until they expire.
TEST(EmptyZones, LeavingInstanceHandsItsZonesOn)
{
  EntryFleetOptions options;
  options.mZones = { "a", "b", "c" };
  TwoZoneFleet fleet(options);
  fleet.mStore->Remove(wire::kServersKind, fleet.mEngines[2]->Id());
  fleet.AwaitReady();
  fleet.StopInstance(1);
  ASSERT_TRUE(fleet.RequestUntilServed(0, "m1", kMaxTakeoverTime));
  ASSERT_EQ(1u, fleet.Engine().mHolders.size());
  size_t leader = fleet.Engine().mHolders.count("i0") > 0 ? 0 : 2;
  fleet.StopInstance(leader);
  EXPECT_TRUE(fleet.RequestUntilServed(2 - leader, "m2", kMaxTakeoverTime));
  EXPECT_EQ(2u, fleet.Engine().mHolders.size());
  fleet.ExpectOneHolderPerToken();
}

} // namespace caraway
