// Which briefings an instance starts, and what it keeps of them.

#include <gtest/gtest.h>
#include <mutex>

#include "caraway/PausedClock.h"
#include "serve/BriefingRunner.h"
#include "support/Fleet.h"
#include "support/MemoryPlatform.h"

namespace caraway {

namespace {

// An instance that owns all lists of briefings. Its briefings have expired, so
// that each one that is started ends with a stored refusal. Its only worker
// waits until a round is over.
class OneRunner : public ::testing::Test
{
protected:
  static constexpr int kBriefings = 4;

  OneRunner()
  {
    for (int i = 0; i < kBriefings; ++i) {
      Briefing briefing;
      briefing.mId = "briefing-" + std::to_string(i);
      briefing.mExpires = 1;
      EXPECT_FALSE(FailureIn([&] { return mStore.Store(briefing); }));
    }
  }
  void Round()
  {
    {
      std::lock_guard<std::mutex> roundIsOver(mRound);
      mWorkers.Submit([this] { std::lock_guard<std::mutex> wait(mRound); });
      mRunner.Round();
    }
    EXPECT_TRUE(Eventually(Seconds(3), [this] { return mWorkers.Idle(); }));
  }
  int Ended()
  {
    int ended = 0;
    for (int i = 0; i < kBriefings; ++i) {
      auto stored =
        Outcome([&] { return mStore.Read("briefing-" + std::to_string(i)); });
      auto* found = std::get_if<StoredBriefing>(&stored);
      ended +=
        found && found->mBriefing.mState != BriefingState::Accepted ? 1 : 0;
    }
    return ended;
  }

  std::mutex mRound;
  PausedClock mClock;
  MemoryPlatform mPlatform;
  ConfigHolder mConfig{ mClock };
  PeerClient mPeers{ "secret", "a/i0" };
  Members mMembers{ mClock, { "i0", "a", "127.0.0.1:1", false } };
  PlacementStore mPlacements{ mPlatform, mClock };
  EngineClient mEngines;
  Loader mLoader{ {}, mPlacements, mEngines, mClock };
  WorkerPool mLoadWorkers{ 1 };
  ModelOwner mOwner{ mConfig, mLoader, mLoadWorkers, mClock };
  Authenticator mKeys{ mConfig, Seconds(10) };
  Metrics mMetrics;
  EngineSlotFinder mSlots{ mOwner, mMembers, mPeers, mKeys, mMetrics };
  ShareManager mShares{
    {}, "i0.0000@127.0.0.1:1", "", mPlatform, mPeers, mMembers, mConfig, mClock
  };
  ShareClient mShareClient{ {}, { "a" }, mShares, mPeers, mMembers, mClock };
  LeaveGate mLeave{ mClock };
  ModelCalls mModels{ mSlots, mShareClient, mKeys, mLeave, mMetrics, mClock };
  BriefingStore mStore{ mPlatform };
  WorkerPool mWorkers{ 1 };
  BriefingRunner mRunner{ mStore,   mModels, mMembers, mConfig,
                          mWorkers, mLeave,  mClock };
};

} // namespace

// Guards against a runner that starts none.
TEST_F(OneRunner, DueBriefingsAreStarted)
{
  Round();
  EXPECT_EQ(kBriefings, Ended());
}

// Guards against briefings that an instance starts as it leaves: the exit cuts
// them, and they run once more at their next owner.
TEST_F(OneRunner, RoundThatALeaveOvertakesStartsNone)
{
  int reads = 0;
  mPlatform.mOnRead = [&] {
    constexpr int kMidRound = BriefingStore::kLists / 2;
    if (++reads == kMidRound) {
      mLeave.Begin({});
    }
    return 0;
  };
  Round();
  EXPECT_GT(+BriefingStore::kLists, reads); // the round has ended early
  EXPECT_EQ(0, Ended());
}

// Guards against a briefing that waits for a worker until a leave has begun and
// is started then.
TEST_F(OneRunner, QueuedBriefingIsNotStartedInALeave)
{
  {
    std::lock_guard<std::mutex> roundIsOver(mRound);
    mWorkers.Submit([this] { std::lock_guard<std::mutex> wait(mRound); });
    mRunner.Round();
    mLeave.Begin({});
  }
  EXPECT_TRUE(Eventually(Seconds(3), [this] { return mWorkers.Idle(); }));
  EXPECT_EQ(0, Ended());
}

// Guards against memory that grows with each briefing that was tried here and
// ended at another instance.
TEST_F(OneRunner, BriefingsThatEndedElsewhereAreForgotten)
{
  {
    std::lock_guard<std::mutex> roundIsOver(mRound);
    mWorkers.Submit([this] { std::lock_guard<std::mutex> wait(mRound); });
    mRunner.Round();
    mPlatform.mOnRead = [] { return -1; }; // an outage
  }
  EXPECT_TRUE(Eventually(Seconds(3), [this] { return mWorkers.Idle(); }));
  EXPECT_EQ(static_cast<size_t>(kBriefings), mRunner.Postponed());
  mPlatform.mOnRead = nullptr;
  for (int i = 0; i < kBriefings; ++i) {
    std::string id = "briefing-" + std::to_string(i);
    EXPECT_FALSE(FailureIn([&] { return mStore.RemoveFromList(id); }));
  }
  mClock.Advance(Seconds(10));
  Round();
  EXPECT_EQ(0u, mRunner.Postponed());
}

} // namespace caraway
