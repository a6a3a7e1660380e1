// When all instances of a zone have left, an instance of another zone sends
// orders to its servers until an instance of the zone starts.

#include <gtest/gtest.h>

#include <algorithm>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// From the end of a zone's last instance until its servers receive orders.
constexpr Millis kAdopted{ 14000 };

// From the removal of the last entry of a zone whose instances are silent: the
// list is read again, and a full lease must pass.
constexpr Millis kEntryGone{ 24000 };

// From the start of an instance until it sends orders to its zone's servers.
constexpr Millis kHandedBack{ 6000 };

std::vector<HttpField>
Model(const std::string& aName)
{
  return { { wire::kModel, aName }, { wire::kTokens, "100,50" } };
}

// One instance in each zone; all engines are in zone b.
EntryFleetOptions
TwoZones()
{
  EntryFleetOptions plan;
  plan.mZones = { "a", "b" };
  return plan;
}

struct TwoZoneFleet : EntryTestFleet
{
  explicit TwoZoneFleet(EntryFleetOptions aPlan = TwoZones())
    : EntryTestFleet(std::move(aPlan))
  {
    mStore->Remove(wire::kServersKind, mEngines[0]->Id());
    EXPECT_TRUE(Until(
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
  void Remove(size_t aInstance)
  {
    mInstances[aInstance]->Leave();
    EXPECT_TRUE(
      Until([&] { return mInstances[aInstance]->Gone(); }, Seconds(9)));
    mInstances[aInstance].reset();
  }

  // Sends a request for a model that no server has loaded.
  TestCallPtr Ask(size_t aInstance, const std::string& aModel)
  {
    return Call(aInstance,
                "/resume/stream",
                "r" + std::to_string(++mAsked),
                Model(aModel));
  }

  // Repeats a request until it is served.
  bool AskUntilServed(size_t aInstance,
                      const std::string& aModel,
                      Millis aWithin)
  {
    TimePoint end = mClock.Now() + aWithin;
    while (mClock.Now() < end) {
      if (Ask(aInstance, aModel)->mStatus == 200) {
        return true;
      }
      For(Millis(100));
    }
    return false;
  }

  void ExpectOneHolderAToken()
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

  int mAsked = 0;
};

} // namespace

// Guards against servers that stay idle because no instance may send them
// orders.
TEST(EmptyZones, ServersOfAnEmptiedZoneTakeOrders)
{
  TwoZoneFleet world;
  world.AwaitReady();
  world.Remove(1);
  EXPECT_TRUE(world.AskUntilServed(0, "m1", kAdopted));
  EXPECT_EQ(std::set<std::string>{ "i0" }, world.Engine().mHolders);
  world.ExpectOneHolderAToken();
}

// Guards against an instance of another zone that keeps the lease of a zone
// whose own instance has started.
TEST(EmptyZones, FirstInstanceOfTheZoneGetsItBack)
{
  TwoZoneFleet world;
  world.AwaitReady();
  world.Remove(1);
  ASSERT_TRUE(world.AskUntilServed(0, "m1", kAdopted));
  world.mInstances[1] = world.MakeInstance(1);
  EXPECT_TRUE(world.Until([&] { return world.mInstances[1]->HoldsLease(); },
                          kHandedBack));
  EXPECT_TRUE(world.AskUntilServed(0, "m2", kHandedBack));
  EXPECT_EQ((std::set<std::string>{ "i0", "i1" }), world.Engine().mHolders);
  EXPECT_EQ("i1", world.Engine().mOrderedBy.back().second);
  world.ExpectOneHolderAToken();
}

// Guards against a zone that is not taken over again after it has been handed
// back and emptied, or is taken over on the basis of an outdated list.
TEST(EmptyZones, ZoneIsAdoptedAgainWhenItEmptiesAgain)
{
  TwoZoneFleet world;
  world.AwaitReady();
  world.Remove(1);
  ASSERT_TRUE(world.AskUntilServed(0, "m1", kAdopted));
  world.mInstances[1] = world.MakeInstance(1);
  ASSERT_TRUE(world.Until([&] { return world.mInstances[1]->HoldsLease(); },
                          kHandedBack));
  world.Remove(1);
  EXPECT_TRUE(world.AskUntilServed(0, "m2", kAdopted));
  EXPECT_EQ("i0", world.Engine().mOrderedBy.back().second);
  world.ExpectOneHolderAToken();
}

// Guards against a zone that is taken over because its instances are silent:
// while their entries exist, they may be alive.
TEST(EmptyZones, SilentZoneWithEntriesIsNotAdopted)
{
  TwoZoneFleet world;
  world.AwaitReady();
  world.mInstances[1].reset(); // killed
  EXPECT_FALSE(world.AskUntilServed(0, "m1", kAdopted));
  EXPECT_TRUE(world.Engine().mHolders.empty());
  world.mStore->Remove("caraway-instances", "i1");
  EXPECT_TRUE(world.AskUntilServed(0, "m1", kEntryGone));
}

// Guards against two instances that take over the same zone.
TEST(EmptyZones, OneOfSeveralAdopts)
{
  EntryFleetOptions plan;
  plan.mZones = { "a", "b", "c" };
  TwoZoneFleet world(plan);
  world.mStore->Remove(wire::kServersKind, world.mEngines[2]->Id());
  world.AwaitReady();
  world.Remove(1);
  EXPECT_TRUE(world.AskUntilServed(0, "m1", kAdopted));
  EXPECT_TRUE(world.AskUntilServed(2, "m2", kAdopted));
  EXPECT_EQ(1u, world.Engine().mHolders.size());
  world.ExpectOneHolderAToken();
}

// Guards against an instance that shuts down and keeps the leases of other
// zones until they expire.
TEST(EmptyZones, AdopterThatLeavesHandsOn)
{
  EntryFleetOptions plan;
  plan.mZones = { "a", "b", "c" };
  TwoZoneFleet world(plan);
  world.mStore->Remove(wire::kServersKind, world.mEngines[2]->Id());
  world.AwaitReady();
  world.Remove(1);
  ASSERT_TRUE(world.AskUntilServed(0, "m1", kAdopted));
  ASSERT_EQ(1u, world.Engine().mHolders.size());
  size_t adopter = world.Engine().mHolders.count("i0") > 0 ? 0 : 2;
  world.Remove(adopter);
  EXPECT_TRUE(world.AskUntilServed(2 - adopter, "m2", kAdopted));
  EXPECT_EQ(2u, world.Engine().mHolders.size());
  world.ExpectOneHolderAToken();
}

} // namespace caraway
