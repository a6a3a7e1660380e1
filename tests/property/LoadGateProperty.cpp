#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/LoadGate.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

// A load as its loader sees it.
struct Load
{
  std::string mId;
  RequestClass mClass = RequestClass::Batch;
  bool mHasPermit = false;
  bool mDead = false;
  TimePoint mTold{}; // when it was last told that it is in
};

struct World
{
  LoadGateParameters mParameters;
  TimePoint mNow = TimePoint(Seconds(1000));
  LoadGate mGate{ mParameters, mNow };
  std::vector<Load> mLoads;
  std::vector<TimePoint> mStarts;
  int mMade = 0;

  // An answer may be lost: the load then doesn't know that it is in.
  void Ask(Load& aLoad, bool aHeard)
  {
    bool before = mGate.mEntries.count(aLoad.mId) != 0 &&
                  mGate.mEntries[aLoad.mId].mHasPermit;
    bool in = LoadGateAcquire(mGate, { aLoad.mId, aLoad.mClass, false }, mNow)
                .mHasPermit;
    if (in && !before) {
      mStarts.push_back(mNow);
      Check(mGate.mEntries[aLoad.mId]);
    }
    if (in && aHeard) {
      aLoad.mHasPermit = true;
      aLoad.mTold = mNow;
    }
  }

  // aEntry has just been let in.
  void Check(const LoadGateEntry& aEntry) const
  {
    for (const auto& other : mGate.mEntries) {
      RC_ASSERT(other.second.mHasPermit ||
                other.second.mClass >= aEntry.mClass ||
                other.second.mArrived > aEntry.mArrived);
    }
    int inside = LoadGateAdmitted(mGate);
    bool urgent = aEntry.mClass == RequestClass::Urgent;
    RC_ASSERT(inside <= mParameters.mMaxConcurrent +
                          (urgent ? mParameters.mUrgentExtra : 0));
    auto recent =
      std::count_if(mStarts.begin(), mStarts.end(), [&](TimePoint aStart) {
        return mNow - aStart < Seconds(1);
      });
    RC_ASSERT(static_cast<double>(recent) <= 2 * mParameters.mStartsPerSecond);
  }

  void Step(RandomChoices& aTape)
  {
    mNow += Millis(aTape.Below(20) * 10);
    int what = aTape.Below(8);
    if (what == 0 || mLoads.empty()) {
      Load load;
      load.mId = std::to_string(mMade++);
      load.mClass = static_cast<RequestClass>(aTape.Below(3));
      mLoads.push_back(load);
      return;
    }
    size_t at = static_cast<size_t>(aTape.Below(255)) % mLoads.size();
    Load& load = mLoads[at];
    if (load.mDead) {
      return;
    }
    if (what == 1 && aTape.Below(3) == 0) {
      load.mDead = true;
    } else if (what == 2 && load.mHasPermit) {
      LoadGateRelease(mGate, load.mId);
      mLoads.erase(mLoads.begin() + static_cast<long>(at));
    } else {
      Ask(load, aTape.Below(5) != 0);
    }
  }

  // All that live ask every 100 ms, and load for two seconds.
  bool DrainsWithin(Seconds aTime)
  {
    for (TimePoint end = mNow + aTime; mNow < end; mNow += Millis(100)) {
      bool waiting = false;
      for (Load& load : mLoads) {
        if (load.mDead) {
          continue;
        }
        waiting = waiting || !load.mHasPermit;
        TimePoint told = load.mTold;
        Ask(load, true);
        load.mTold = told == TimePoint{} ? load.mTold : told;
        if (load.mHasPermit && mNow - load.mTold > Seconds(2)) {
          load.mDead = true;
          LoadGateRelease(mGate, load.mId);
        }
      }
      if (!waiting) {
        return true;
      }
    }
    return false;
  }
};

} // namespace

// What the callers of all models would see: loads that crawl, because more
// draw on the store than it has speed for; or one that never begins. Answers
// are lost, loaders die inside and while waiting, asks are doubled. Never more
// inside than the limit, and the urgent beyond it; and whoever goes on asking
// gets in, the least urgent too.
RC_GTEST_PROP(LoadGate, NeverTooManyAndEveryTurnComes, ())
{
  RandomChoices tape = RandomChoices::OfLength(300);
  World world;
  while (!tape.Ended()) {
    world.Step(tape);
  }
  auto bound = Seconds(10 + 2 * static_cast<int>(world.mLoads.size()));
  RC_ASSERT(world.DrainsWithin(bound));
}

// A bulletin joins a briefing that waits for the same model's load: the load
// is as urgent as the bulletin from then on.
TEST(LoadGate, GrowsAsUrgentAsWhoWaits)
{
  TimePoint now = TimePoint(Seconds(1000));
  LoadGate gate({}, now);
  for (const char* id : { "a", "b", "c", "d" }) {
    EXPECT_TRUE(LoadGateAcquire(gate, { id, RequestClass::Batch, false }, now)
                  .mHasPermit);
  }
  EXPECT_FALSE(
    LoadGateAcquire(gate, { "chat", RequestClass::Interactive, false }, now)
      .mHasPermit);
  EXPECT_FALSE(
    LoadGateAcquire(gate, { "late", RequestClass::Batch, false }, now)
      .mHasPermit);
  EXPECT_TRUE(
    LoadGateAcquire(gate, { "late", RequestClass::Urgent, false }, now)
      .mHasPermit);
}

} // namespace caraway
