// Instances shut down one after the other: the remaining ones have current
// updates, and neither follow nor call those that have left.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

EntryFleetOptions
Instances(int aCount)
{
  EntryFleetOptions plan;
  plan.mInstances = aCount;
  return plan;
}

// Withdraws the first tenant's key and drains the first server.
void
Withdraw(EntryTestFleet& aWorld)
{
  aWorld.mConfig["tenants"][0]["apiKeys"] = Json::Value(Json::arrayValue);
  aWorld.Configure();
  aWorld.List(*aWorld.mPlain[0], "plain", "a", "draining");
}

bool
KnowsConfig(EntryTestFleet& aWorld, size_t aInstance)
{
  const auto& config = aWorld.mInstances[aInstance]->State().mConfig;
  return config && config->mVersion == aWorld.mConfig["version"].asInt64();
}

bool
KnowsDraining(EntryTestFleet& aWorld, size_t aInstance)
{
  const Backend* server =
    aWorld.mInstances[aInstance]->State().mServers.Find(aWorld.mPlain[0]->Id());
  return server && server->mEntry.mDraining;
}

// The instance that reads the store for the others.
size_t
Reader(EntryTestFleet& aWorld)
{
  aWorld.For(Millis(2500));
  size_t reader = 0;
  while (aWorld.LogLines(reader, "list_followed") >
           aWorld.LogLines(reader, "list_read_again") &&
         reader + 1 < aWorld.mInstances.size()) {
    ++reader;
  }
  return reader;
}

bool
AllKnow(EntryTestFleet& aWorld, size_t aBut)
{
  for (size_t i = 0; i < aWorld.mInstances.size(); ++i) {
    if (i != aBut && !(KnowsConfig(aWorld, i) && KnowsDraining(aWorld, i))) {
      return false;
    }
  }
  return true;
}

// Makes a change and waits until all instances have it, so that all are
// current.
void
Freshen(EntryTestFleet& aWorld)
{
  aWorld.Configure();
  std::string id = aWorld.mPlain[1]->Id();
  aWorld.mStore->Remove(wire::kServersKind, id);
  EXPECT_TRUE(aWorld.Until(
    [&] {
      for (size_t i = 0; i < aWorld.mInstances.size(); ++i) {
        if (!KnowsConfig(aWorld, i) ||
            aWorld.mInstances[i]->State().mServers.Find(id)) {
          return false;
        }
      }
      return true;
    },
    Seconds(2)));
}

// Failed calls to peers in the logs of the instances from aFirst on.
int
FailedCalls(EntryTestFleet& aWorld, size_t aFirst)
{
  int failed = 0;
  for (size_t i = aFirst; i < aWorld.mInstances.size(); ++i) {
    failed += aWorld.LogLines(i, "peer_call_failed");
  }
  return failed;
}

} // namespace

// Guards against followers that wait for updates of a reader that has announced
// its shutdown.
TEST(RollingShutdown, LeavingReaderIsFollowedNoMore)
{
  EntryTestFleet world(Instances(3));
  world.AwaitReady();
  size_t reader = Reader(world);
  Freshen(world);
  world.mInstances[reader]->Leave();
  world.For(Millis(150));
  world.mStore->SetFaultMode(reader, StandInStore::FaultMode::Silent);
  Withdraw(world);
  EXPECT_TRUE(world.Until([&] { return AllKnow(world, reader); }, Millis(700)));
}

// Guards against a configuration that counts as current because the sender's
// list of servers is current.
TEST(RollingShutdown, ConfigurationHasAnAgeOfItsOwn)
{
  EntryTestFleet world(Instances(3));
  world.AwaitReady();
  size_t reader = Reader(world);
  Freshen(world);
  world.mStore->MuteWatchesOf(reader, wire::kConfigKind);
  // Servers update their entries meanwhile, so that the list keeps changing.
  world.mReactor.Every(
    Millis(200), [&world] { world.List(*world.mEngines[0], "engine", "a"); });
  world.For(Millis(50));
  Withdraw(world);
  EXPECT_TRUE(
    world.Until([&] { return AllKnow(world, reader); }, Millis(2900)));
}

// Guards against updates that waited unread and are taken for as recent as when
// they were sent.
TEST(RollingShutdown, NewsAgeWhileTheyLieUnread)
{
  EntryTestFleet world(Instances(3));
  world.AwaitReady();
  size_t reader = Reader(world);
  size_t late = reader == 2 ? 1 : 2;
  world.mFrozen.insert(late);
  world.For(Millis(1200));
  world.mFrozen.insert(reader);
  Withdraw(world);
  world.For(Millis(1200));
  world.mFrozen.erase(late);
  EXPECT_TRUE(world.Until(
    [&] { return KnowsConfig(world, late) && KnowsDraining(world, late); },
    Millis(600)));
}

// Guards against calls to instances that have left, and against counting them
// until the store's list no longer has them.
TEST(RollingShutdown, ThoseThatLeftAreForgottenAndNotCalled)
{
  EntryFleetOptions plan = Instances(3);
  plan.mZones = { "a", "b" };
  EntryTestFleet world(plan);
  world.mConfig["tenants"][0]["ratePerS"] = 6000;
  world.mConfig["tenants"][0]["burst"] = 6000;
  world.Configure();
  world.AwaitReady();
  world.For(Millis(1500));
  for (size_t i = 0; i < 4; ++i) {
    world.mInstances[i]->Leave();
    world.For(Millis(100));
  }
  ASSERT_TRUE(
    world.Until([&] { return world.mInstances[3]->Gone(); }, Seconds(9)));
  int before = FailedCalls(world, 4);
  // More than the own parts, so that tokens are borrowed from peers.
  for (int i = 0; i < 20; ++i) {
    world.Call(4 + static_cast<size_t>(i % 2),
               "/order/x",
               "r" + std::to_string(i),
               { { wire::kTokens, "1500,0" } });
  }
  EXPECT_EQ(before, FailedCalls(world, 4));
  for (size_t i = 4; i < 6; ++i) {
    EXPECT_EQ(2, world.mInstances[i]->State().mInstances);
  }
}

// Guards against a removed server that reappears with each update that still
// contains its last change.
TEST(RollingShutdown, ServerThatIsGoneStaysGone)
{
  EntryTestFleet world(Instances(3));
  world.AwaitReady();
  Reader(world);
  world.List(*world.mPlain[0], "plain", "a", "draining");
  world.For(Millis(1200));
  world.mStore->Remove(wire::kServersKind, world.mPlain[0]->Id());
  world.For(Millis(2500));
  std::string gone = "\"server_gone\",\"server\":\"" + world.mPlain[0]->Id();
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(1, world.LogLines(i, gone));
  }
}

// Guards against one instance that both holds its zone's lease and reads the
// store for the others.
TEST(RollingShutdown, LeaderLetsAnotherRead)
{
  EntryTestFleet world(Instances(4));
  world.AwaitReady();
  size_t reader = Reader(world);
  EXPECT_EQ(0, world.LogLines(reader, "lease_taken"));
}

// Guards against a change that is lost while many instances shut down: each
// instance that accepts callers has it within the time limit.
TEST(RollingShutdown, ChangesAreInForceWhileMostLeave)
{
  EntryTestFleet world(Instances(8));
  world.AwaitReady();
  world.For(Millis(1500));
  for (size_t i = 0; i < 6; ++i) {
    world.mInstances[i]->Leave();
    if (i == 3) {
      Withdraw(world);
    }
    world.For(Millis(500));
  }
  world.For(Millis(500));
  for (size_t i = 6; i < 8; ++i) {
    EXPECT_TRUE(KnowsConfig(world, i) && KnowsDraining(world, i));
    EXPECT_EQ(401, world.Call(i, "/order/x", "r" + std::to_string(i))->mStatus);
  }
}

// Guards against an instance that restarts under its name and stays forgotten.
TEST(RollingShutdown, NextLifeIsKnownAgain)
{
  EntryTestFleet world(Instances(3));
  world.AwaitReady();
  world.mInstances[1]->Leave();
  ASSERT_TRUE(
    world.Until([&] { return world.mInstances[1]->Gone(); }, Seconds(9)));
  world.mInstances[1].reset();
  world.mInstances[1] = world.MakeInstance(1);
  EXPECT_TRUE(world.Until(
    [&] {
      for (auto& instance : world.mInstances) {
        if (instance->State().mInstances != 3) {
          return false;
        }
      }
      return world.mInstances[1]->Ready();
    },
    Seconds(2)));
}

} // namespace caraway
