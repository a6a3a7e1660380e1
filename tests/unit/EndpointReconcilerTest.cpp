// What a reconciler keeps of the orders of an engine.

#include <atomic>
#include <gtest/gtest.h>

#include "caraway/PausedClock.h"
#include "net/HttpPort.h"
#include "own/EndpointReconciler.h"
#include "own/PlacementCodec.h"
#include "support/MemoryPlatform.h"

namespace caraway {

namespace {

// A reconciler that owns one engine, which holds nothing and accepts all
// orders.
class OneEngine : public ::testing::Test
{
protected:
  OneEngine()
    : mEngine("127.0.0.1:0", {}, [this](auto& aIn, auto& aOut) {
      mOrders += aIn.getURI() == "/orders" ? 1 : 0;
      const std::string none = R"({"replicas":[]})";
      aOut.sendBuffer(none.data(), none.size());
    })
  {
    EndpointSpec endpoint;
    endpoint.mName = "llm";
    endpoint.mZone = "a";
    endpoint.mAddress = mEngine.Address();
    endpoint.mMemory = 1000;
    ConfigSnapshot config;
    config.mRevision = 1;
    config.mEndpoints["llm"] = endpoint;
    mConfig.Adopt(config);
  }

  // Stores a record with one load of its own decision and fencing token.
  void Decide(int aNumber)
  {
    PlacedReplica replica;
    replica.mName = "m0";
    replica.mVersion = "1";
    replica.mBytes = 10;
    replica.mFencingToken = aNumber;
    replica.mDecision = "decision-" + std::to_string(aNumber);
    PlacementRecord record;
    record.mEndpoint = "llm";
    record.mFencingToken = aNumber;
    record.mReplicas = { replica };
    int64_t version = mPlatform.CurrentObject("placement", "a.llm").mVersion;
    mPlatform.Apply(
      { "placement", "a.llm", version, "w", PlacementJson(record) });
  }
  // Later than the record is read again, and than an order is sent again.
  void ReconcileLater()
  {
    mClock.Advance(Seconds(11));
    mReconciler.ReconcileAll();
  }

  std::atomic<int> mOrders{ 0 };
  HttpPort mEngine;
  PausedClock mClock;
  MemoryPlatform mPlatform;
  ConfigHolder mConfig{ mClock };
  Members mMembers{ mClock, { "i0", "a", "127.0.0.1:1", false } };
  PlacementStore mStore{ mPlatform, mClock };
  EngineClient mEngines;
  Loader mLoader{ {}, mStore, mEngines, mClock };
  EndpointReconciler mReconciler{ {},       mConfig, mMembers, mStore,
                                  mEngines, mLoader, mClock };
};

} // namespace

// Guards against memory that grows with each load and unload of an engine for
// as long as it has the same owner.
TEST_F(OneEngine, OrdersOfOldDecisionsAreForgotten)
{
  constexpr int kDecisions = 20;
  for (int i = 1; i <= kDecisions; ++i) {
    Decide(i);
    ReconcileLater();
    ReconcileLater();
  }
  EXPECT_GE(1u, mReconciler.OrdersRemembered());
  EXPECT_LE(kDecisions, mOrders);
}

// Guards against an order that is forgotten while its decision stands: it would
// be sent again at once, or never.
TEST_F(OneEngine, StandingOrderIsSentAgainAtItsInterval)
{
  Decide(1);
  mReconciler.ReconcileAll();
  EXPECT_EQ(0, mOrders); // the decider itself sends at first
  ReconcileLater();
  EXPECT_EQ(1, mOrders);
  mReconciler.ReconcileAll();
  EXPECT_EQ(1, mOrders);
  ReconcileLater();
  EXPECT_EQ(2, mOrders);
}

} // namespace caraway
