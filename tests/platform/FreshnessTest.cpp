// Configuration, keys and leaving servers are in force within seconds at each
// instance, whatever becomes of its watch, and never go back.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// Stated for all of these, from the store's answer on.
constexpr Millis kBound{ 2000 };

EntryFleetOptions
TwoInstances()
{
  EntryFleetOptions plan;
  plan.mInstances = 2;
  return plan;
}

void
RevokeKeys(EntryTestFleet& aWorld)
{
  aWorld.mConfig["tenants"][0]["apiKeys"] = Json::Value(Json::arrayValue);
  aWorld.Configure();
}

bool
Follows(EntryTestFleet& aWorld, size_t aInstance)
{
  return aWorld.LogLines(aInstance, "list_followed") >
         aWorld.LogLines(aInstance, "list_read_again");
}

int64_t
VersionAt(EntryTestFleet& aWorld, size_t aInstance)
{
  const auto& config = aWorld.mInstances[aInstance]->State().mConfig;
  return config ? config->mVersion : 0;
}

} // namespace

TEST(Freshness, WithdrawnKeyStopsWorking)
{
  EntryTestFleet world;
  world.AwaitReady();
  EXPECT_EQ(200, world.Call(0, "/order/x", "r1")->mStatus);
  RevokeKeys(world);
  world.For(kBound);
  EXPECT_EQ(401, world.Call(0, "/order/x", "r2")->mStatus);
}

// The store turns one instance away and serves the other. What the operator
// changes meanwhile comes from the other instance.
TEST(Freshness, InstanceThatTheStoreTurnsAwayLearnsFromAnother)
{
  for (auto mood :
       { StandInStore::FaultMode::Silent, StandInStore::FaultMode::Busy }) {
    EntryTestFleet world(TwoInstances());
    world.AwaitReady();
    world.mStore->SetFaultMode(0, mood);
    world.For(Millis(500));
    RevokeKeys(world);
    world.List(*world.mPlain[0], "plain", "a", "draining");
    world.For(kBound);
    EXPECT_EQ(401, world.Call(0, "/order/x", "r1")->mStatus);
    const Backend* leaving =
      world.mInstances[0]->State().mServers.Find(world.mPlain[0]->Id());
    ASSERT_TRUE(leaving);
    EXPECT_TRUE(leaving->mEntry.mDraining);
  }
}

// The same with a configuration of hundreds of routes, which takes longer to
// hand over than other calls between instances.
TEST(Freshness, LargeConfigurationComesFromAnother)
{
  EntryTestFleet world(TwoInstances());
  world.AwaitReady();
  Json::Value route = world.mConfig["routes"][0];
  for (int i = 0; i < 3000; ++i) {
    route["name"] = "r-" + std::to_string(i);
    route["pathPrefix"] = "/more-" + std::to_string(i) + "/";
    world.mConfig["routes"].append(route);
  }
  world.mStore->SetFaultMode(1, StandInStore::FaultMode::Silent);
  world.Configure();
  int64_t version = world.mConfig["version"].asInt64();
  EXPECT_TRUE(
    world.Until([&] { return VersionAt(world, 1) == version; }, kBound));
}

// All watches hear nothing while changes are made, then the history is gone.
TEST(Freshness, ForgottenHistoryIsReadAnew)
{
  EntryTestFleet world;
  world.AwaitReady();
  world.mStore->MuteWatches(true);
  RevokeKeys(world);
  world.List(*world.mPlain[0], "plain", "a", "draining");
  world.For(Millis(500));
  world.mStore->ForgetHistory();
  world.mStore->MuteWatches(false);
  world.For(kBound - Millis(500));
  EXPECT_EQ(401, world.Call(0, "/order/x", "r1")->mStatus);
  for (int i = 0; i < 6; ++i) {
    world.Call(0,
               "/order/x",
               "l" + std::to_string(i),
               { { wire::kAuthorization, "Bearer key-globex" } });
  }
  EXPECT_EQ(0u, world.mPlain[0]->mRuns.size());
}

// An instance that starts while the store is away has no configuration. It
// says so, not that keys or routes are unknown, and isn't ready.
TEST(Freshness, UnknownConfigurationIsNoDenial)
{
  EntryTestFleet world;
  world.mInstances[0].reset();
  world.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Silent);
  world.mInstances[0] = world.MakeInstance(0);
  world.For(Millis(300));
  EXPECT_FALSE(world.mInstances[0]->Ready());
  TestCallPtr call = world.Call(0, "/order/x", "r1");
  EXPECT_EQ(503, call->mStatus);
  EXPECT_NE("", call->Field(wire::kRetryAfter));
}

// An older version comes after a newer one: the newer stays in force.
TEST(Freshness, ConfigurationNeverGoesBack)
{
  EntryTestFleet world;
  world.AwaitReady();
  world.Configure();
  world.For(Millis(1500));
  int64_t newest = VersionAt(world, 0);
  Json::Value old = world.mConfig;
  old["version"] = 1;
  world.mStore->Put(wire::kConfigKind, wire::kConfigName, old);
  world.For(Millis(1500));
  EXPECT_EQ(newest, VersionAt(world, 0));
}

// Entries that can't be read name no server, and leave the others in force.
TEST(Freshness, UnreadableEntriesStopNothing)
{
  EntryTestFleet world;
  world.AwaitReady();
  Json::Value bad;
  bad["service"] = 7;
  world.mStore->Put(wire::kServersKind, "bad-1", bad);
  bad = world.mPlain[0]->Entry("plain", "a");
  bad["state"] = "sleeping";
  world.mStore->Put(wire::kServersKind, "bad-2", bad);
  world.mStore->Put(wire::kConfigKind, wire::kConfigName, Json::Value("noise"));
  world.For(Millis(1500));
  EXPECT_EQ(nullptr, world.mInstances[0]->State().mServers.Find("bad-1"));
  EXPECT_EQ(nullptr, world.mInstances[0]->State().mServers.Find("bad-2"));
  EXPECT_EQ(200, world.Call(0, "/order/x", "r1")->mStatus);
}

// Entries lapse while the store is away. Servers that answer are used for the
// two seconds in which entries come back; what is still missing then is gone.
TEST(Freshness, LapsedEntriesAreKeptForTwoSeconds)
{
  EntryTestFleet world;
  world.AwaitReady();
  world.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Silent);
  world.For(Seconds(3));
  for (auto& server : world.mPlain) {
    world.mStore->Remove(wire::kServersKind, server->Id());
  }
  world.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Serves);
  world.For(Seconds(1));
  EXPECT_EQ(200, world.Call(0, "/order/x", "r1")->mStatus);
  world.For(Seconds(4));
  EXPECT_NE(200, world.Call(0, "/order/x", "r2")->mStatus);
  EXPECT_EQ(0, world.RunsOf("r2"));
}

// Of a zone's instances one reads the store; the others are told. What the
// store is asked doesn't grow with them, and what changes is in force at all.
TEST(Freshness, OneOfAZoneReadsForAll)
{
  EntryFleetOptions plan;
  plan.mInstances = 4;
  EntryTestFleet world(plan);
  world.AwaitReady();
  world.For(Millis(2500));
  int before = world.mStore->Calls();
  world.For(Seconds(4));
  // Two watches, the lease, and now and then the list of instances; four that
  // read for themselves make over twenty.
  EXPECT_LE(world.mStore->Calls() - before, 16);
  RevokeKeys(world);
  world.List(*world.mPlain[0], "plain", "a", "draining");
  world.mStore->Remove(wire::kServersKind, world.mPlain[1]->Id());
  world.For(kBound);
  for (size_t i = 0; i < 4; ++i) {
    ServerView& servers = world.mInstances[i]->State().mServers;
    EXPECT_EQ(401, world.Call(i, "/order/x", "r" + std::to_string(i))->mStatus);
    ASSERT_TRUE(servers.Find(world.mPlain[0]->Id()));
    EXPECT_TRUE(servers.Find(world.mPlain[0]->Id())->mEntry.mDraining);
    EXPECT_FALSE(servers.Find(world.mPlain[1]->Id()));
  }
}

// The one that reads is killed, or the store turns it away in silence, right
// before a change: those who were told by it notice, read by themselves, and
// have the change within the bound.
TEST(Freshness, ReaderThatIsLostIsReplaced)
{
  for (bool killed : { true, false }) {
    EntryFleetOptions plan;
    plan.mInstances = 3;
    EntryTestFleet world(plan);
    world.AwaitReady();
    world.For(Millis(2500));
    size_t reader = 0;
    while (Follows(world, reader) && reader < 2) {
      ++reader;
    }
    if (killed) {
      world.mInstances[reader].reset();
    } else {
      world.mStore->SetFaultMode(reader, StandInStore::FaultMode::Silent);
    }
    RevokeKeys(world);
    world.List(*world.mPlain[0], "plain", "a", "draining");
    world.For(kBound);
    for (size_t i = 0; i < 3; ++i) {
      if (i == reader) {
        continue;
      }
      ServerView& servers = world.mInstances[i]->State().mServers;
      EXPECT_EQ(401,
                world.Call(i, "/order/x", "r" + std::to_string(i))->mStatus);
      EXPECT_TRUE(servers.Find(world.mPlain[0]->Id())->mEntry.mDraining);
    }
  }
}

// Guards against a removal that falls between two lives of the zone's reader:
// no entry is left to tell of it, and who follows would send there for ever.
TEST(Freshness, RemovalBetweenTwoLivesOfTheReaderIsSeen)
{
  EntryTestFleet world(TwoInstances());
  world.AwaitReady();
  world.For(Millis(1500));
  size_t reader = Follows(world, 0) ? 1 : 0;
  size_t follower = 1 - reader;
  std::string gone = world.mPlain[0]->Id();
  ASSERT_TRUE(world.mInstances[follower]->State().mServers.Find(gone));
  world.mInstances[reader].reset();
  world.mStore->Remove(wire::kServersKind, gone);
  world.mInstances[reader] = world.MakeInstance(reader);
  world.For(kBound);
  EXPECT_FALSE(world.mInstances[follower]->State().mServers.Find(gone));
}

} // namespace caraway
