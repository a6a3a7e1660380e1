#include <condition_variable>
#include <gtest/gtest.h>
#include <list>
#include <mutex>

#include "caraway/PausedClock.h"
#include "own/AdapterPermit.h"
#include "peer/PeerPort.h"

namespace caraway {

namespace {

const std::string kSecret = "0123456789abcdef";

// An instance as far as the store's gate needs one.
struct GateNode
{
  GateNode(const std::string& aId,
           const std::string& aZone,
           PausedClock& aClock)
    : mPort(kSecret)
    , mPeers(kSecret, aZone + "/" + aId)
  {
    mPort.Open("127.0.0.1:0", 4);
    mInfo = { aId, aZone, mPort.Address(), false };
    mMembers = std::make_unique<Members>(aClock, mInfo);
    StoreGateSettings settings;
    settings.mZones = 2;
    mGate = std::make_unique<StoreGate>(settings, *mMembers, mPeers, aClock);
  }
  void Serve()
  {
    mGate->AddMethods([this](const char* aName, PeerMethod aMethod) {
      mPort.Add(aName, std::move(aMethod));
    });
    mPort.Serve();
  }

  PeerPort mPort;
  PeerClient mPeers;
  InstanceInfo mInfo;
  std::unique_ptr<Members> mMembers;
  std::unique_ptr<StoreGate> mGate;
};

// i2 of the other zone owns the fleet's gate. It takes questions and doesn't
// answer them.
class StalledGate : public ::testing::Test
{
protected:
  StalledGate()
  {
    mOwner.mPort.Add("load.ask", [this](const Json::Value&) {
      std::unique_lock<std::mutex> lock(mLock);
      mResume.wait(lock, [this] { return mReleased; });
      return Json::Value(Json::objectValue);
    });
    mOwner.mPort.Serve();
    for (GateNode* node : { &mNode0, &mNode1 }) {
      node->Serve();
      for (GateNode* other : { &mNode0, &mNode1, &mOwner }) {
        node->mMembers->Heard(other->mInfo);
      }
    }
  }
  ~StalledGate() override
  {
    std::lock_guard<std::mutex> lock(mLock);
    mReleased = true;
    mResume.notify_all();
  }
  bool Ask(GateNode& aNode,
           const std::string& aId,
           bool aAlreadyAdmitted = false)
  {
    return aNode.mGate
      ->Acquire({ aId, RequestClass::Interactive, aAlreadyAdmitted })
      .mHasPermit;
  }

  PausedClock mClock;
  GateNode mNode0{ "i0", "mendoza-a", mClock };
  GateNode mNode1{ "i1", "mendoza-a", mClock };
  GateNode mOwner{ "i2", "uspallata-b", mClock };
  std::mutex mLock;
  std::condition_variable mResume;
  bool mReleased = false;
};

} // namespace

// The gate's owner stalls for a moment while several loads ask. Were each to
// take its asker's own gate for the fleet's, all would start beside those that
// the owner let in. They are told to ask again; one that is in stays in.
TEST_F(StalledGate, BriefStallAdmitsNoOtherLoad)
{
  EXPECT_TRUE(Ask(mNode0, "inside", true));
  for (const char* id : { "a", "b", "c" }) {
    EXPECT_FALSE(Ask(mNode0, id)) << id;
  }
}

// The owner doesn't come back. Two instances that each went by their own gate
// would both give out the zone's part; the zone's owner gives it out once.
TEST_F(StalledGate, ZoneGateAdmitsItsPartOnce)
{
  int admitted = 0;
  for (int round = 0; round < 4; ++round) {
    for (GateNode* node : { &mNode0, &mNode1 }) {
      admitted += Ask(*node, node->mInfo.mId + std::to_string(round)) ? 1 : 0;
    }
    mClock.Advance(Millis(400));
  }
  EXPECT_EQ(admitted, 4 / 2);
}

// A burst wants more adapters at once than the fleet may have on their way.
// Each instance keeps to its part, so that they don't all arrive late; a place
// that comes free is given to the next.
TEST(AdapterPermits, EachInstanceKeepsToItsPart)
{
  PausedClock clock;
  GateNode node("i0", "mendoza-a", clock);
  node.mMembers->Heard({ "i1", "mendoza-a", "127.0.0.1:1", false });
  node.mMembers->Heard({ "i2", "uspallata-b", "127.0.0.1:2", false });
  constexpr size_t kPart = 30 / 3;
  std::list<AdapterPermit> permits;
  for (size_t i = 0; i < kPart; ++i) {
    EXPECT_TRUE(
      permits.emplace_back(node.mGate.get(), clock.Now()).HasPermit());
  }
  EXPECT_FALSE(AdapterPermit(node.mGate.get(), clock.Now()).HasPermit());
  permits.pop_front();
  EXPECT_TRUE(AdapterPermit(node.mGate.get(), clock.Now()).HasPermit());
}

} // namespace caraway
