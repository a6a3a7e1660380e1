// Changes of the configuration, keys and servers are in force at each instance
// within seconds, whatever happens to its watch, and never go back.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// Specified limit for all of these changes: from the store's answer to the
// change until the change is in force.
constexpr Millis kMaxDelay{ 2000 };

EntryFleetOptions
TwoInstances()
{
  EntryFleetOptions options;
  options.mInstances = 2;
  return options;
}

void
RevokeKeys(EntryTestFleet& aFleet)
{
  aFleet.mConfig["tenants"][0]["apiKeys"] = Json::Value(Json::arrayValue);
  aFleet.Configure();
}

bool
Follows(EntryTestFleet& aFleet, size_t aInstance)
{
  return aFleet.LogLines(aInstance, "list_followed") >
         aFleet.LogLines(aInstance, "list_read_again");
}

int64_t
VersionAt(EntryTestFleet& aFleet, size_t aInstance)
{
  const auto& config = aFleet.mInstances[aInstance]->State().mConfig;
  return config ? config->mVersion : 0;
}

} // namespace

TEST(Freshness, RevokedKeyIsRefused)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  EXPECT_EQ(200, fleet.Call(0, "/order/x", "r1")->mStatus);
  RevokeKeys(fleet);
  fleet.RunFor(kMaxDelay);
  EXPECT_EQ(401, fleet.Call(0, "/order/x", "r2")->mStatus);
}

// Guards against all instances that read a slow store by themselves, which
// makes it slower still: its reader confirms the feeds in time for those who
// follow.
TEST(Freshness, SlowStoreIsReadByOneInstance)
{
  EntryTestFleet fleet(TwoInstances());
  fleet.AwaitReady();
  ASSERT_TRUE(fleet.RunUntil(
    [&] { return Follows(fleet, 0) || Follows(fleet, 1); }, Seconds(5)));
  size_t follower = Follows(fleet, 0) ? 0 : 1;
  size_t before = fleet.LogLines(follower, "list_read_again");
  fleet.mStore->SetAnswerDelay(Millis(150));
  fleet.RunFor(Seconds(12));
  EXPECT_EQ(before, fleet.LogLines(follower, "list_read_again"));
}

// The store rejects one instance and serves the other. The first one gets the
// operator's changes from the other instance.
TEST(Freshness, InstanceWithoutStoreGetsChangesFromAPeer)
{
  for (auto mode :
       { StandInStore::FaultMode::Silent, StandInStore::FaultMode::Busy }) {
    EntryTestFleet fleet(TwoInstances());
    fleet.AwaitReady();
    fleet.mStore->SetFaultMode(0, mode);
    fleet.RunFor(Millis(500));
    RevokeKeys(fleet);
    fleet.List(*fleet.mPlain[0], "plain", "a", "draining");
    fleet.RunFor(kMaxDelay);
    EXPECT_EQ(401, fleet.Call(0, "/order/x", "r1")->mStatus);
    const Backend* draining =
      fleet.mInstances[0]->State().mServers.Find(fleet.mPlain[0]->Id());
    ASSERT_TRUE(draining);
    EXPECT_TRUE(draining->mEntry.mDraining);
  }
}

// As above, with a configuration of thousands of routes, whose transfer takes
// longer than other calls between instances.
TEST(Freshness, LargeConfigurationIsFetchedFromAPeer)
{
  EntryTestFleet fleet(TwoInstances());
  fleet.AwaitReady();
  Json::Value route = fleet.mConfig["routes"][0];
  for (int i = 0; i < 3000; ++i) {
    route["name"] = "r-" + std::to_string(i);
    route["pathPrefix"] = "/more-" + std::to_string(i) + "/";
    fleet.mConfig["routes"].append(route);
  }
  fleet.mStore->SetFaultMode(1, StandInStore::FaultMode::Silent);
  fleet.Configure();
  int64_t version = fleet.mConfig["version"].asInt64();
  EXPECT_TRUE(
    fleet.RunUntil([&] { return VersionAt(fleet, 1) == version; }, kMaxDelay));
}

// Watches get no answer while changes are made, and afterwards the store no
// longer has the history that they ask for.
TEST(Freshness, ListIsReadAgainWhenTheHistoryIsGone)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mStore->MuteWatches(true);
  RevokeKeys(fleet);
  fleet.List(*fleet.mPlain[0], "plain", "a", "draining");
  fleet.RunFor(Millis(500));
  fleet.mStore->ForgetHistory();
  fleet.mStore->MuteWatches(false);
  fleet.RunFor(kMaxDelay - Millis(500));
  EXPECT_EQ(401, fleet.Call(0, "/order/x", "r1")->mStatus);
  for (int i = 0; i < 6; ++i) {
    fleet.Call(0,
               "/order/x",
               "l" + std::to_string(i),
               { { wire::kAuthorization, "Bearer key-globex" } });
  }
  EXPECT_EQ(0u, fleet.mPlain[0]->mRuns.size());
}

// An instance that starts during an outage of the store has no configuration.
// Guards against refusals for unknown keys or routes; it isn't ready instead.
TEST(Freshness, InstanceWithoutConfigurationIsNotReady)
{
  EntryTestFleet fleet;
  fleet.mInstances[0].reset();
  fleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Silent);
  fleet.mInstances[0] = fleet.MakeInstance(0);
  fleet.RunFor(Millis(300));
  EXPECT_FALSE(fleet.mInstances[0]->Ready());
  TestCallPtr call = fleet.Call(0, "/order/x", "r1");
  EXPECT_EQ(503, call->mStatus);
  EXPECT_NE("", call->Field(wire::kRetryAfter));
}

// An older version arrives after a newer one; the newer one stays in force.
TEST(Freshness, ConfigurationNeverGoesBack)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.Configure();
  fleet.RunFor(Millis(1500));
  int64_t newest = VersionAt(fleet, 0);
  Json::Value old = fleet.mConfig;
  old["version"] = 1;
  fleet.mStore->Put(wire::kConfigKind, wire::kConfigName, old);
  fleet.RunFor(Millis(1500));
  EXPECT_EQ(newest, VersionAt(fleet, 0));
}

// Guards against entries that can't be read and disturb the others: they name
// no server and are ignored.
TEST(Freshness, UnreadableEntriesAreIgnored)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  Json::Value bad;
  bad["service"] = 7;
  fleet.mStore->Put(wire::kServersKind, "bad-1", bad);
  bad = fleet.mPlain[0]->Entry("plain", "a");
  bad["state"] = "sleeping";
  fleet.mStore->Put(wire::kServersKind, "bad-2", bad);
  fleet.mStore->Put(wire::kConfigKind, wire::kConfigName, Json::Value("noise"));
  fleet.RunFor(Millis(1500));
  EXPECT_EQ(nullptr, fleet.mInstances[0]->State().mServers.Find("bad-1"));
  EXPECT_EQ(nullptr, fleet.mInstances[0]->State().mServers.Find("bad-2"));
  EXPECT_EQ(200, fleet.Call(0, "/order/x", "r1")->mStatus);
}

// Entries lapse during an outage of the store. Servers stay in use for the two
// seconds in which they register again; entries still missing then are removed.
TEST(Freshness, LapsedEntriesAreKeptForTwoSeconds)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Silent);
  fleet.RunFor(Seconds(3));
  for (auto& server : fleet.mPlain) {
    fleet.mStore->Remove(wire::kServersKind, server->Id());
  }
  fleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Serves);
  fleet.RunFor(Seconds(1));
  EXPECT_EQ(200, fleet.Call(0, "/order/x", "r1")->mStatus);
  fleet.RunFor(Seconds(4));
  EXPECT_NE(200, fleet.Call(0, "/order/x", "r2")->mStatus);
  EXPECT_EQ(0, fleet.RunsOf("r2"));
}

// One instance of a zone reads the store and sends updates to the others. The
// calls to the store don't grow with the instances, and all apply each change.
TEST(Freshness, OneInstancePerZoneReadsTheStore)
{
  EntryFleetOptions options;
  options.mInstances = 4;
  EntryTestFleet fleet(options);
  fleet.AwaitReady();
  fleet.RunFor(Millis(2500));
  int before = fleet.mStore->Calls();
  fleet.RunFor(Seconds(4));
  // Two watches, the lease, and sometimes the list of instances. Four instances
  // that each read the store make more than twenty calls.
  EXPECT_LE(fleet.mStore->Calls() - before, 16);
  RevokeKeys(fleet);
  fleet.List(*fleet.mPlain[0], "plain", "a", "draining");
  fleet.mStore->Remove(wire::kServersKind, fleet.mPlain[1]->Id());
  fleet.RunFor(kMaxDelay);
  for (size_t i = 0; i < 4; ++i) {
    ServerView& servers = fleet.mInstances[i]->State().mServers;
    EXPECT_EQ(401, fleet.Call(i, "/order/x", "r" + std::to_string(i))->mStatus);
    ASSERT_TRUE(servers.Find(fleet.mPlain[0]->Id()));
    EXPECT_TRUE(servers.Find(fleet.mPlain[0]->Id())->mEntry.mDraining);
    EXPECT_FALSE(servers.Find(fleet.mPlain[1]->Id()));
  }
}

// The reader is killed, or the store stops answering it, right before a change.
// Its followers notice, read the store, and apply the change in time.
TEST(Freshness, LostReaderIsReplaced)
{
  for (bool killed : { true, false }) {
    EntryFleetOptions options;
    options.mInstances = 3;
    EntryTestFleet fleet(options);
    fleet.AwaitReady();
    fleet.RunFor(Millis(2500));
    size_t reader = 0;
    while (Follows(fleet, reader) && reader < 2) {
      ++reader;
    }
    if (killed) {
      fleet.mInstances[reader].reset();
    } else {
      fleet.mStore->SetFaultMode(reader, StandInStore::FaultMode::Silent);
    }
    RevokeKeys(fleet);
    fleet.List(*fleet.mPlain[0], "plain", "a", "draining");
    fleet.RunFor(kMaxDelay);
    for (size_t i = 0; i < 3; ++i) {
      if (i == reader) {
        continue;
      }
      ServerView& servers = fleet.mInstances[i]->State().mServers;
      EXPECT_EQ(401,
                fleet.Call(i, "/order/x", "r" + std::to_string(i))->mStatus);
      EXPECT_TRUE(servers.Find(fleet.mPlain[0]->Id())->mEntry.mDraining);
    }
  }
}

// Guards against a removal while the zone's reader restarts: no entry is left
// to show it, and a follower would use the removed server for ever.
TEST(Freshness, RemovalDuringAReaderRestartIsSeen)
{
  EntryTestFleet fleet(TwoInstances());
  fleet.AwaitReady();
  fleet.RunFor(Millis(1500));
  size_t reader = Follows(fleet, 0) ? 1 : 0;
  size_t follower = 1 - reader;
  std::string gone = fleet.mPlain[0]->Id();
  ASSERT_TRUE(fleet.mInstances[follower]->State().mServers.Find(gone));
  fleet.mInstances[reader].reset();
  fleet.mStore->Remove(wire::kServersKind, gone);
  fleet.mInstances[reader] = fleet.MakeInstance(reader);
  fleet.RunFor(kMaxDelay);
  EXPECT_FALSE(fleet.mInstances[follower]->State().mServers.Find(gone));
}

} // namespace caraway
