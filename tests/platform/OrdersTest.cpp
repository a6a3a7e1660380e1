// Orders to model servers: a missing model is loaded, only one lease holder
// sends orders at a time, and no server is ordered to hold more than fits, even
// if an order is lost or late.

#include <gtest/gtest.h>
#include <sstream>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

std::vector<HttpField>
Model(const std::string& aName)
{
  return { { wire::kModel, aName }, { wire::kTokens, "100,50" } };
}

TestCallPtr
Stream(EntryTestFleet& aFleet,
       const std::string& aModel,
       const std::string& aId)
{
  return aFleet.Call(0, "/resume/stream", aId, Model(aModel));
}

} // namespace

TEST(Orders, MissingModelIsLoadedAndServed)
{
  EntryTestFleet fleet;
  fleet.mEngines[0]->mOnDisk = { "m1" };
  fleet.List(*fleet.mEngines[0], "engine", "a");
  fleet.AwaitReady();
  TestCallPtr call = Stream(fleet, "m1", "r1");
  EXPECT_EQ(200, call->mStatus);
  EXPECT_TRUE(call->mComplete);
  EXPECT_EQ(1, fleet.mEngines[0]->mOrdersSeen);
}

// Guards against requests that wait for a server's report, which shows a load
// from disk only a second after its end. Callers give up after two or three
// seconds, so a waiting request must be sent when the load time is over.
TEST(Orders, LoadFromDiskIsUsedBeforeItIsReported)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  engine.mOnDisk = { "m1" };
  engine.mReportLag = Seconds(1);
  fleet.List(engine, "engine", "a");
  fleet.AwaitReady();
  TestCallPtr call = Stream(fleet, "m1", "r1");
  EXPECT_EQ(200, call->mStatus);
  EXPECT_LT(call->mHeadAt - call->mSentAt, Millis(600));
}

TEST(Orders, IdleModelIsEvicted)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  engine.mModels = { { "m0", {} }, { "m1", {} }, { "m2", {} } };
  fleet.List(engine, "engine", "a");
  fleet.AwaitReady();
  Stream(fleet, "m0", "r1");
  EXPECT_EQ(200, Stream(fleet, "m3", "r2")->mStatus);
  EXPECT_TRUE(engine.mModels.count("m0"));
  EXPECT_EQ(3u, engine.mModels.size());
  EXPECT_EQ(0, engine.mOverCapacityLoads);
}

// A server takes about 50 ms for an unload and rejects orders meanwhile.
// Loading a rare model must take one unload and one load without retries: each
// order has its cost, and there are a dozen such loads a second.
TEST(Orders, EvictionAndLoadTakeTwoOrders)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  engine.mModels = { { "m0", {} }, { "m1", {} }, { "m2", {} } };
  engine.mUnloadTime = Millis(45);
  fleet.List(engine, "engine", "a");
  fleet.AwaitReady();
  EXPECT_EQ(200, Stream(fleet, "m3", "r1")->mStatus);
  EXPECT_EQ(2, engine.mOrdersSeen);
}

// Many callers request the same missing model at once: it is loaded once.
TEST(Orders, BurstForOneModelLoadsItOnce)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < 10; ++i) {
    calls.push_back(
      fleet.Send(0, "/resume/stream", "r" + std::to_string(i), Model("m1")));
  }
  EXPECT_TRUE(fleet.RunUntil(
    [&] {
      for (const TestCallPtr& call : calls) {
        if (!call->mComplete) {
          return false;
        }
      }
      return true;
    },
    Seconds(4)));
  EXPECT_EQ(1, fleet.mEngines[0]->mOrdersSeen);
}

TEST(Orders, AdapterIsLoadedAndIdleOneEvicted)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  engine.mAdapterCapacity = 8;
  fleet.AwaitReady();
  for (int i = 0; i < 12; ++i) {
    TestCallPtr call =
      Stream(fleet, "m0/a" + std::to_string(i), "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
  }
  EXPECT_EQ(0, engine.mOverCapacityLoads);
  EXPECT_LE(engine.mModels["m0"].size(), 8u);
}

// All eight adapters are in use when a ninth is requested. A server accepts the
// unload of one and carries it out when its streams have ended; until then the
// slot is not free.
TEST(Orders, SlotOfAdapterInUseIsNotFree)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  engine.mEvents = 40;
  engine.mEventGap = Millis(50);
  fleet.AwaitReady();
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < 10; ++i) {
    calls.push_back(fleet.Send(0,
                               "/resume/stream",
                               "r" + std::to_string(i),
                               Model("m0/a" + std::to_string(i))));
    fleet.RunFor(Millis(100));
  }
  fleet.RunUntil([&] { return calls.back()->mComplete; }, Seconds(6));
  EXPECT_EQ(0, engine.mOverCapacityLoads);
  EXPECT_GE(engine.mOrdersSeen, 9);
}

// The server carries out a load and its answer is lost. The order is retried
// under the same count, so that it cannot take effect twice.
TEST(Orders, UnansweredOrderTakesEffectOnce)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  fleet.AwaitReady();
  engine.mDropsOrderAnswers = true;
  TestCallPtr call = fleet.Send(0, "/resume/stream", "r1", Model("m1"));
  fleet.RunUntil([&] { return engine.mOrdersSeen >= 2; }, Seconds(2));
  engine.mDropsOrderAnswers = false;
  EXPECT_TRUE(fleet.RunUntil([&] { return call->mComplete; }, Seconds(4)));
  EXPECT_EQ(1, engine.mOrderCount);
}

// Guards against a load beyond the memory. The instance is killed while a load
// that it ordered is in progress. After its restart it sees two models and
// memory for a third, and plans a load. When the server accepts orders again,
// the first load has filled the memory.
TEST(Orders, LoadOrderedBeforeRestartIsCounted)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  engine.mModels = { { "m0", {} }, { "m1", {} } };
  engine.mLoadTime = Millis(2500);
  engine.mEvents = 1;
  fleet.List(engine, "engine", "a");
  fleet.AwaitReady();
  fleet.Send(0, "/resume/stream", "r1", Model("m2"));
  ASSERT_TRUE(fleet.RunUntil([&] { return engine.mBusy; }, Seconds(1)));
  fleet.mInstances[0].reset();
  fleet.mInstances[0] = fleet.MakeInstance(0);
  fleet.AwaitReady();
  fleet.Send(0, "/resume/stream", "r2", Model("m3"));
  // The server's entry shows the first load before a report does, so that the
  // known content agrees with the report while the plan is outdated.
  fleet.RunFor(Millis(300));
  HeldModels before = engine.mModels;
  engine.mModels["m2"];
  fleet.List(engine, "engine", "a");
  engine.mModels = before;
  fleet.RunUntil([&] { return !engine.mBusy; }, Seconds(4));
  TestCallPtr call = Stream(fleet, "m3", "r3");
  fleet.RunFor(Seconds(1));
  EXPECT_EQ(0, engine.mOverCapacityLoads);
}

// Guards against a successor that combines an order count with content from
// before the last order has ended: its next load would exceed the memory.
TEST(Orders, SuccessorDoesNotTrustContentSentDuringLoad)
{
  EntryFleetOptions options;
  options.mInstances = 2;
  EntryTestFleet fleet(options);
  StandInServer& engine = *fleet.mEngines[0];
  engine.mModels = { { "m0", {} }, { "m1", {} } };
  engine.mLoadTime = Millis(6000);
  engine.mEvents = 1;
  fleet.List(engine, "engine", "a");
  fleet.AwaitReady();
  size_t holder = fleet.mInstances[0]->HoldsLease() ? 0 : 1;
  fleet.Send(holder, "/resume/stream", "r1", Model("m2"));
  ASSERT_TRUE(fleet.RunUntil([&] { return engine.mBusy; }, Seconds(1)));
  fleet.mInstances[holder].reset();
  fleet.mInstances[holder] = fleet.MakeInstance(holder);
  ASSERT_TRUE(fleet.RunUntil(
    [&] { return fleet.mInstances[holder]->HoldsLease(); }, Seconds(2)));
  fleet.AwaitReady();
  TestCallPtr abandoned =
    fleet.Send(holder, "/resume/stream", "r2", Model("m3"));
  fleet.RunFor(Millis(300));
  abandoned->mChannel->Close();
  fleet.RunFor(Millis(300));
  fleet.mInstances[holder]->Leave();
  ASSERT_TRUE(fleet.RunUntil(
    [&] { return fleet.mInstances[1 - holder]->HoldsLease(); }, Seconds(3)));
  ASSERT_TRUE(fleet.RunUntil([&] { return !engine.mBusy; }, Seconds(8)));
  fleet.Send(1 - holder, "/resume/stream", "r3", Model("m3"));
  fleet.RunFor(Millis(1500));
  EXPECT_EQ(0, engine.mOverCapacityLoads);
}

// An entry from before an adapter was loaded arrives after the load. The
// inventory must not lose the adapter, or a ninth adapter is loaded.
TEST(Orders, OutdatedEntryDoesNotUndoOrder)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  fleet.AwaitReady();
  for (int i = 0; i < 8; ++i) {
    Stream(fleet, "m0/a" + std::to_string(i), "r" + std::to_string(i));
  }
  ASSERT_EQ(8u, engine.mModels["m0"].size());
  HeldModels all = engine.mModels;
  fleet.List(engine, "engine", "a"); // with all eight
  fleet.RunFor(Millis(1000));
  engine.mModels["m0"] = { "a0", "a1" };
  fleet.List(engine, "engine", "a"); // as it was long before
  engine.mModels = all;
  fleet.RunFor(Millis(1200));
  Stream(fleet, "m0/a9", "r9");
  fleet.RunFor(Millis(300));
  EXPECT_EQ(0, engine.mOverCapacityLoads);
}

// A server answers that it does not hold a model that it is known to hold.
// Requests avoid it for a moment, but the inventory is changed by the lease
// holder only.
TEST(Orders, RejectedRequestDoesNotChangeInventory)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mEngines[0]->mExpectedId = "somebody-else"; // 421 to all
  Stream(fleet, "m0", "r1");
  const Backend* backend =
    fleet.mInstances[0]->State().mServers.Find(fleet.mEngines[0]->Id());
  ASSERT_TRUE(backend);
  EXPECT_TRUE(backend->Holds("m0", ""));
}

// Of two instances of a zone only one sends orders. When it has left, the other
// takes over after the order silence, with a higher token.
TEST(Orders, OneHolderAtATimeWithRisingTokens)
{
  EntryFleetOptions options;
  options.mInstances = 2;
  EntryTestFleet fleet(options);
  StandInServer& engine = *fleet.mEngines[0];
  fleet.AwaitReady();
  for (size_t i = 0; i < 2; ++i) {
    fleet.Call(i,
               "/resume/stream",
               "r" + std::to_string(i),
               Model("m" + std::to_string(i + 1)));
  }
  EXPECT_EQ(1u, engine.mHolders.size());
  bool firstHolds = *engine.mHolders.begin() == "i0";
  size_t former = firstHolds ? 0 : 1;
  fleet.mInstances[former]->Leave();
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.mInstances[former]->Gone(); },
                             Seconds(9)));
  fleet.mInstances[former].reset();
  TestCallPtr call =
    fleet.Call(1 - former, "/resume/stream", "r9", Model("m4"));
  EXPECT_EQ(200, call->mStatus);
  EXPECT_EQ(2u, engine.mHolders.size());
  for (size_t i = 1; i < engine.mTokens.size(); ++i) {
    EXPECT_GE(engine.mTokens[i], engine.mTokens[i - 1]);
  }
  EXPECT_GT(engine.mTokens.back(), engine.mTokens.front());
}

// The sequence number of a server's entry counts heartbeats, that of its report
// counts orders. An order under the count of heartbeats would always be
// rejected.
TEST(Orders, EntryCountsHeartbeatsNotOrders)
{
  EntryTestFleet fleet;
  StandInServer& engine = *fleet.mEngines[0];
  engine.mOrderCount = 5;
  fleet.AwaitReady();
  EXPECT_EQ(200, Stream(fleet, "m1", "r1")->mStatus);
  EXPECT_EQ(6, engine.mOrderCount);
}

// Guards against a zone that misses the one message about another zone's load,
// and starts more loads than the weight store carries at full speed.
TEST(Orders, LoadInProgressIsReportedToOtherZonesAgain)
{
  EntryFleetOptions options;
  options.mZones = { "a", "b" };
  options.mStep = Millis(5);
  EntryTestFleet fleet(options);
  for (auto& engine : fleet.mEngines) {
    engine->mLoadTime = Millis(4500);
  }
  for (Json::Value& route : fleet.mConfig["routes"]) {
    route["timeoutMs"] = 25000;
    route["targetLatencyMs"] = 8000;
  }
  fleet.Configure();
  fleet.AwaitReady();
  TestCallPtr call = fleet.Call(0,
                                "/stream/stream",
                                "r1",
                                { { wire::kModel, "m5" },
                                  { wire::kTokens, "1,1" },
                                  { wire::kDeadline, "25000" } });
  EXPECT_EQ(200, call->mStatus);
  constexpr int kReportsPerLoad = 6; // its start, each second, its end
  int heard = 0;
  for (auto& instance : fleet.mInstances) {
    std::istringstream lines(instance->State().mMetrics.Text());
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("caraway_store_load_reports_total", 0) == 0) {
        heard += std::stoi(line.substr(line.rfind(' ')));
      }
    }
  }
  int loads = 0;
  for (auto& engine : fleet.mEngines) {
    loads += engine->mOrdersSeen;
  }
  EXPECT_LT(0, loads);
  EXPECT_LE(loads * kReportsPerLoad, heard);
}

} // namespace caraway
