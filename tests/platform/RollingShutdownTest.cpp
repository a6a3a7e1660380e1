// Instances shut down one after the other: the remaining ones stay current, and
// neither follow nor call those that have left.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

EntryFleetOptions
Instances(int aCount)
{
  EntryFleetOptions options;
  options.mInstances = aCount;
  return options;
}

// Withdraws the first tenant's key and drains the first server.
void
Withdraw(EntryTestFleet& aFleet)
{
  aFleet.mConfig["tenants"][0]["apiKeys"] = Json::Value(Json::arrayValue);
  aFleet.Configure();
  aFleet.List(*aFleet.mPlain[0], "plain", "a", "draining");
}

bool
KnowsConfig(EntryTestFleet& aFleet, size_t aInstance)
{
  const auto& config = aFleet.mInstances[aInstance]->State().mConfig;
  return config && config->mVersion == aFleet.mConfig["version"].asInt64();
}

bool
KnowsDraining(EntryTestFleet& aFleet, size_t aInstance)
{
  const Backend* server =
    aFleet.mInstances[aInstance]->State().mServers.Find(aFleet.mPlain[0]->Id());
  return server && server->mEntry.mDraining;
}

// The instance that reads the store for the others.
size_t
Reader(EntryTestFleet& aFleet)
{
  aFleet.RunFor(Millis(2500));
  size_t reader = 0;
  while (aFleet.LogLines(reader, "list_followed") >
           aFleet.LogLines(reader, "list_read_again") &&
         reader + 1 < aFleet.mInstances.size()) {
    ++reader;
  }
  return reader;
}

bool
AllKnow(EntryTestFleet& aFleet, size_t aExcept)
{
  for (size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    if (i != aExcept && !(KnowsConfig(aFleet, i) && KnowsDraining(aFleet, i))) {
      return false;
    }
  }
  return true;
}

// Makes a change and waits until all instances have it, so that all are
// current.
void
MakeCurrent(EntryTestFleet& aFleet)
{
  aFleet.Configure();
  std::string id = aFleet.mPlain[1]->Id();
  aFleet.mStore->Remove(wire::kServersKind, id);
  EXPECT_TRUE(aFleet.RunUntil(
    [&] {
      for (size_t i = 0; i < aFleet.mInstances.size(); ++i) {
        if (!KnowsConfig(aFleet, i) ||
            aFleet.mInstances[i]->State().mServers.Find(id)) {
          return false;
        }
      }
      return true;
    },
    Seconds(2)));
}

// Failed calls to peers in the logs of the instances from aFirst on.
int
FailedCalls(EntryTestFleet& aFleet, size_t aFirst)
{
  int failed = 0;
  for (size_t i = aFirst; i < aFleet.mInstances.size(); ++i) {
    failed += aFleet.LogLines(i, "peer_call_failed");
  }
  return failed;
}

} // namespace

// Guards against followers that wait for updates of a reader that has announced
// its shutdown.
TEST(RollingShutdown, LeavingReaderIsNoLongerFollowed)
{
  EntryTestFleet fleet(Instances(3));
  fleet.AwaitReady();
  size_t reader = Reader(fleet);
  MakeCurrent(fleet);
  fleet.mInstances[reader]->Leave();
  fleet.RunFor(Millis(150));
  fleet.mStore->SetFaultMode(reader, StandInStore::FaultMode::Silent);
  Withdraw(fleet);
  EXPECT_TRUE(
    fleet.RunUntil([&] { return AllKnow(fleet, reader); }, Millis(700)));
}

// Guards against a configuration that counts as current because the reader's
// list of servers is current. The reader's watch of the configuration hangs.
TEST(RollingShutdown, ConfigurationAgeIsIndependentOfTheServerList)
{
  EntryTestFleet fleet(Instances(3));
  fleet.AwaitReady();
  size_t reader = Reader(fleet);
  MakeCurrent(fleet);
  fleet.mStore->MuteWatchesOf(reader, wire::kConfigKind);
  // Servers update their entries meanwhile, so that the list keeps changing.
  fleet.mReactor.Every(
    Millis(200), [&fleet] { fleet.List(*fleet.mEngines[0], "engine", "a"); });
  fleet.RunFor(Millis(50));
  Withdraw(fleet);
  EXPECT_TRUE(
    fleet.RunUntil([&] { return AllKnow(fleet, reader); }, Millis(2900)));
}

// Guards against updates whose age is counted from when they are read. An
// instance that was suspended finds them waiting while the reader has stopped.
TEST(RollingShutdown, UpdatesAgeWhileUnread)
{
  EntryTestFleet fleet(Instances(3));
  fleet.AwaitReady();
  size_t reader = Reader(fleet);
  size_t suspended = reader == 2 ? 1 : 2;
  fleet.mFrozen.insert(suspended);
  fleet.RunFor(Millis(1200));
  fleet.mFrozen.insert(reader);
  Withdraw(fleet);
  fleet.RunFor(Millis(1200));
  fleet.mFrozen.erase(suspended);
  EXPECT_TRUE(fleet.RunUntil(
    [&] {
      return KnowsConfig(fleet, suspended) && KnowsDraining(fleet, suspended);
    },
    Millis(600)));
}

// Guards against calls to instances that have left, and against counting them
// until the store's list no longer has them.
TEST(RollingShutdown, DepartedInstancesAreForgottenAndNotCalled)
{
  EntryFleetOptions options = Instances(3);
  options.mZones = { "a", "b" };
  EntryTestFleet fleet(options);
  fleet.mConfig["tenants"][0]["ratePerS"] = 6000;
  fleet.mConfig["tenants"][0]["burst"] = 6000;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.RunFor(Millis(1500));
  for (size_t i = 0; i < 4; ++i) {
    fleet.mInstances[i]->Leave();
    fleet.RunFor(Millis(100));
  }
  ASSERT_TRUE(
    fleet.RunUntil([&] { return fleet.mInstances[3]->Gone(); }, Seconds(9)));
  int before = FailedCalls(fleet, 4);
  // More than the own parts, so that tokens are borrowed from peers.
  for (int i = 0; i < 20; ++i) {
    fleet.Call(4 + static_cast<size_t>(i % 2),
               "/order/x",
               "r" + std::to_string(i),
               { { wire::kTokens, "1500,0" } });
  }
  EXPECT_EQ(before, FailedCalls(fleet, 4));
  for (size_t i = 4; i < 6; ++i) {
    EXPECT_EQ(2, fleet.mInstances[i]->State().mInstances);
  }
}

// Guards against a removed server that reappears with each update that still
// contains its last change.
TEST(RollingShutdown, RemovedServerStaysRemoved)
{
  EntryTestFleet fleet(Instances(3));
  fleet.AwaitReady();
  Reader(fleet);
  fleet.List(*fleet.mPlain[0], "plain", "a", "draining");
  fleet.RunFor(Millis(1200));
  fleet.mStore->Remove(wire::kServersKind, fleet.mPlain[0]->Id());
  fleet.RunFor(Millis(2500));
  std::string gone = "\"server_gone\",\"server\":\"" + fleet.mPlain[0]->Id();
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(1, fleet.LogLines(i, gone));
  }
}

// Guards against one instance that both holds its zone's lease and reads the
// store for the others.
TEST(RollingShutdown, LeaseHolderLeavesReadingToAnother)
{
  EntryTestFleet fleet(Instances(4));
  fleet.AwaitReady();
  size_t reader = Reader(fleet);
  EXPECT_EQ(0, fleet.LogLines(reader, "lease_taken"));
}

// Guards against a change that is lost while many instances shut down: each
// remaining instance has it within the time limit.
TEST(RollingShutdown, ChangesTakeEffectWhileMostInstancesLeave)
{
  EntryTestFleet fleet(Instances(8));
  fleet.AwaitReady();
  fleet.RunFor(Millis(1500));
  for (size_t i = 0; i < 6; ++i) {
    fleet.mInstances[i]->Leave();
    if (i == 3) {
      Withdraw(fleet);
    }
    fleet.RunFor(Millis(500));
  }
  fleet.RunFor(Millis(500));
  for (size_t i = 6; i < 8; ++i) {
    EXPECT_TRUE(KnowsConfig(fleet, i) && KnowsDraining(fleet, i));
    EXPECT_EQ(401, fleet.Call(i, "/order/x", "r" + std::to_string(i))->mStatus);
  }
}

// Guards against an instance that restarts under its name and is taken for the
// incarnation that has left.
TEST(RollingShutdown, RestartedInstanceIsKnownAgain)
{
  EntryTestFleet fleet(Instances(3));
  fleet.AwaitReady();
  fleet.mInstances[1]->Leave();
  ASSERT_TRUE(
    fleet.RunUntil([&] { return fleet.mInstances[1]->Gone(); }, Seconds(9)));
  fleet.mInstances[1].reset();
  fleet.mInstances[1] = fleet.MakeInstance(1);
  EXPECT_TRUE(fleet.RunUntil(
    [&] {
      for (auto& instance : fleet.mInstances) {
        if (instance->State().mInstances != 3) {
          return false;
        }
      }
      return fleet.mInstances[1]->Ready();
    },
    Seconds(2)));
}

} // namespace caraway
