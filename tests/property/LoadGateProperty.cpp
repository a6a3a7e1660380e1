#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/LoadGate.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

// A load from the point of view of its loader.
struct Load
{
  std::string mId;
  RequestClass mClass = RequestClass::Batch;
  bool mHasPermit = false;
  bool mDead = false;
  TimePoint mAdmittedAt{}; // last reply that confirmed the permit
};

struct LoadGateModel
{
  LoadGateParameters mParameters;
  TimePoint mNow = TimePoint(Seconds(1000));
  LoadGate mGate{ mParameters, mNow };
  std::vector<Load> mLoads;
  std::vector<TimePoint> mStarts;
  int mCreated = 0;

  // A reply may be lost: the load then doesn't know that it has a permit.
  void Poll(Load& aLoad, bool aReplyArrives)
  {
    bool hadPermit = mGate.mEntries.count(aLoad.mId) != 0 &&
                     mGate.mEntries[aLoad.mId].mHasPermit;
    bool hasPermit =
      LoadGateAcquire(mGate, { aLoad.mId, aLoad.mClass, false }, mNow)
        .mHasPermit;
    if (hasPermit && !hadPermit) {
      mStarts.push_back(mNow);
      CheckAdmission(mGate.mEntries[aLoad.mId]);
    }
    if (hasPermit && aReplyArrives) {
      aLoad.mHasPermit = true;
      aLoad.mAdmittedAt = mNow;
    }
  }

  // aEntry has just been admitted.
  void CheckAdmission(const LoadGateEntry& aEntry) const
  {
    for (const auto& other : mGate.mEntries) {
      RC_ASSERT(other.second.mHasPermit ||
                other.second.mClass >= aEntry.mClass ||
                other.second.mArrived > aEntry.mArrived);
    }
    int admitted = LoadGateAdmitted(mGate);
    bool urgent = aEntry.mClass == RequestClass::Urgent;
    RC_ASSERT(admitted <= mParameters.mMaxConcurrent +
                            (urgent ? mParameters.mUrgentExtra : 0));
    auto recent =
      std::count_if(mStarts.begin(), mStarts.end(), [&](TimePoint aStart) {
        return mNow - aStart < Seconds(1);
      });
    RC_ASSERT(static_cast<double>(recent) <= 2 * mParameters.mStartsPerSecond);
  }

  void Step(RandomChoices& aChoices)
  {
    mNow += Millis(aChoices.Below(20) * 10);
    int what = aChoices.Below(8);
    if (what == 0 || mLoads.empty()) {
      Load load;
      load.mId = std::to_string(mCreated++);
      load.mClass = static_cast<RequestClass>(aChoices.Below(3));
      mLoads.push_back(load);
      return;
    }
    size_t at = static_cast<size_t>(aChoices.Below(255)) % mLoads.size();
    Load& load = mLoads[at];
    if (load.mDead) {
      return;
    }
    if (what == 1 && aChoices.Below(3) == 0) {
      load.mDead = true;
    } else if (what == 2 && load.mHasPermit) {
      LoadGateRelease(mGate, load.mId);
      mLoads.erase(mLoads.begin() + static_cast<long>(at));
    } else {
      Poll(load, aChoices.Below(5) != 0);
    }
  }

  // All live loads poll every 100 ms and last two seconds.
  bool DrainsWithin(Seconds aTime)
  {
    for (TimePoint end = mNow + aTime; mNow < end; mNow += Millis(100)) {
      bool waiting = false;
      for (Load& load : mLoads) {
        if (load.mDead) {
          continue;
        }
        waiting = waiting || !load.mHasPermit;
        TimePoint admittedAt = load.mAdmittedAt;
        Poll(load, true);
        load.mAdmittedAt =
          admittedAt == TimePoint{} ? load.mAdmittedAt : admittedAt;
        if (load.mHasPermit && mNow - load.mAdmittedAt > Seconds(2)) {
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

// Guards against slow loads, because more of them use the weight store than it
// serves at full speed, and against loads that never begin. Replies are lost,
// requests repeated, and loaders die while loading or waiting. Never more loads
// are admitted than the limit and its urgent extra, and every load that goes on
// polling is admitted, the least urgent ones too.
RC_GTEST_PROP(LoadGate, LimitsConcurrencyAndAdmitsEveryLoad, ())
{
  RandomChoices choices = RandomChoices::OfLength(300);
  LoadGateModel model;
  while (!choices.Ended()) {
    model.Step(choices);
  }
  auto bound = Seconds(10 + 2 * static_cast<int>(model.mLoads.size()));
  RC_ASSERT(model.DrainsWithin(bound));
}

// Guards against a bulletin that waits at the rank of a briefing: it joins the
// briefing's load of the same model, which is as urgent as the bulletin from
// then on.
TEST(LoadGate, TakesTheMostUrgentClassOfItsWaiters)
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
