// Model test of a zone's lease, with insiders that come and go and outsiders
// that take over: one holder acts at a time, no outsider acts while the zone
// may have an instance of its own, and the zone is led again within a stated
// time after the last fault.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "decide/LeaseStep.h"
#include "decide/ZoneTakeover.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

constexpr Millis kStep{ 50 };

// Longest time from the last fault until a holder acts: a list in its backoff,
// or the delay after a start (10 s), two lists, a whole lease (6 s), the yields
// of ranks, and the silence (3 s).
constexpr Millis kMaxLeaderlessTime{ 24000 };

// Longest time from the start of an insider until it acts.
constexpr Millis kMaxHandBackTime{ 6000 };

constexpr int kHeartbeatSteps = 5;

struct Instance
{
  Instance(std::string aName, bool aInside, TimePoint aNow)
    : mName(std::move(aName))
    , mInside(aInside)
    , mLease(mName, LeaseTimes())
    , mTakeover(aNow)
  {
    mLease.SetWanted(aInside, aNow);
  }

  std::string mName;
  bool mInside;
  LeaseStep mLease;
  ZoneTakeover mTakeover;
  bool mAlive = true;
  bool mLeaving = false;
  bool mListed = false; // its entry was written
  bool mCutFromStore = false;
  // Instances of different partitions can't reach each other.
  int mPartition = 0;
  TimePoint mFrozenUntil{};
  TimePoint mNextListAt{};
  TimePoint mEndsAt{};
  // By peer: time of its last heartbeat, and whether it claimed the lease.
  std::map<std::string, std::pair<TimePoint, bool>> mHeard;
  std::string mLastClaimant;
  TimePoint mRecheckAt{};
};

// A zone, its lease, outsiders, and injected faults.
class EmptyZoneModel
{
public:
  explicit EmptyZoneModel(unsigned aSeed)
    : mRandom(aSeed)
  {
    for (int i = 0; i < 2; ++i) {
      Start("in" + std::to_string(i), true);
    }
    for (int i = 0; i < 3; ++i) {
      Start("out" + std::to_string(i), false);
    }
  }

  void Run(Millis aTime)
  {
    for (TimePoint end = mNow + aTime; mNow < end; mNow += kStep) {
      InjectFault();
      RunLateWrites();
      ++mRounds;
      for (auto& one : mInstances) {
        if (one->mAlive && mNow >= one->mFrozenUntil) {
          RunPass(*one);
        }
      }
      Check();
    }
  }

  // Runs until an insider (aInside) or an outsider acts; false if none does in
  // time.
  bool RunUntilLed(Millis aWithin, bool aInside)
  {
    for (TimePoint end = mNow + aWithin; mNow < end;) {
      Run(kStep);
      for (auto& one : mInstances) {
        if (one->mAlive && one->mInside == aInside &&
            one->mLease.MayAct(mNow)) {
          return true;
        }
      }
    }
    return false;
  }

  // Ends all faults. Entries of dead instances are removed, as their zone would
  // do, and dead outsiders restart. A live insider keeps running.
  void EndFaults()
  {
    mFaultsStopped = true;
    for (auto& one : mInstances) {
      one->mPartition = 0;
      one->mCutFromStore = false;
      one->mFrozenUntil = TimePoint();
      if (!one->mAlive) {
        mEntries.erase(one->mName);
      }
      if (!one->mAlive && !one->mInside) {
        *one = Instance(one->mName, false, mNow);
      }
    }
  }

  // All insiders shut down gracefully.
  void EmptyZone()
  {
    for (auto& one : mInstances) {
      if (one->mInside && one->mAlive) {
        Leave(*one);
      }
    }
  }

  bool InsiderLives() const
  {
    return std::any_of(
      mInstances.begin(), mInstances.end(), [](const auto& aOne) {
        return aOne->mInside && aOne->mAlive && !aOne->mLeaving;
      });
  }

  void Start(const std::string& aName, bool aInside)
  {
    for (auto& one : mInstances) {
      if (one->mName == aName) {
        *one = Instance(aName, aInside, mNow);
        return;
      }
    }
    mInstances.push_back(std::make_unique<Instance>(aName, aInside, mNow));
  }

  std::string mFault; // "" = none seen
  int mTakeovers = 0;

private:
  bool Chance(unsigned aOneIn) { return mRandom() % aOneIn == 0; }

  void InjectFault()
  {
    if (mFaultsStopped) {
      return;
    }
    Instance& any = *mInstances[mRandom() % mInstances.size()];
    if (any.mAlive && Chance(150)) {
      any.mFrozenUntil = mNow + Millis(mRandom() % 9000);
    }
    if (any.mAlive && Chance(400)) {
      any.mAlive = false; // killed: its entry remains
    }
    if (any.mAlive && any.mInside && Chance(80)) {
      Leave(any);
    }
    if (!any.mAlive && Chance(250)) {
      Start(any.mName, any.mInside);
    }
    if (Chance(250)) {
      any.mPartition = static_cast<int>(mRandom() % 2);
    }
    if (Chance(250)) {
      any.mCutFromStore = !any.mCutFromStore;
    }
  }

  void Leave(Instance& aOne)
  {
    if (!aOne.mLeaving) {
      aOne.mLeaving = true;
      aOne.mLease.Release(mNow);
      aOne.mEndsAt = mNow + Seconds(3);
    }
  }

  void RunPass(Instance& aOne)
  {
    if (aOne.mLeaving && mNow >= aOne.mEndsAt) {
      if (!aOne.mCutFromStore) {
        mEntries.erase(aOne.mName);
      }
      aOne.mAlive = false;
      return;
    }
    if (!aOne.mListed && !aOne.mLeaving && !aOne.mCutFromStore) {
      mEntries.insert({ aOne.mName, aOne.mInside });
      aOne.mListed = true;
    }
    if (mRounds % kHeartbeatSteps == 0) {
      SendHeartbeat(aOne);
    }
    if (!aOne.mInside) {
      UpdateTakeover(aOne);
    }
    ObserveHolder(aOne);
    CarryOutDue(aOne);
  }

  void SendHeartbeat(Instance& aFrom)
  {
    for (auto& to : mInstances) {
      if (to->mAlive && to.get() != &aFrom &&
          to->mPartition == aFrom.mPartition && mNow >= to->mFrozenUntil &&
          (mFaultsStopped || !Chance(5))) {
        to->mHeard[aFrom.mName] = { mNow, aFrom.mLease.Holds(mNow) };
        if (aFrom.mInside && aFrom.mLeaving) {
          to->mTakeover.OnLeaving();
        } else if (aFrom.mInside) {
          to->mTakeover.OnInstanceHeard(mNow);
        }
      }
    }
  }

  bool Hears(const Instance& aOne, const std::string& aName) const
  {
    auto found = aOne.mHeard.find(aName);
    return found != aOne.mHeard.end() &&
           mNow - found->second.first < Millis(1500);
  }

  void UpdateTakeover(Instance& aOne)
  {
    ZoneTakeover& takeover = aOne.mTakeover;
    takeover.OnLedHere(aOne.mLease.Holds(mNow));
    int rank = 0;
    for (const auto& [name, heard] : aOne.mHeard) {
      bool outside = name[0] == 'o';
      rank += outside && name < aOne.mName && Hears(aOne, name) ? 1 : 0;
      if (heard.second && Hears(aOne, name)) {
        takeover.OnLedByOther(mNow);
      }
    }
    takeover.SetRank(rank);
    aOne.mLease.SetYield(ZoneTakeover::kRankYield * rank);
    if (takeover.NeedsList(mNow) && mNow >= aOne.mNextListAt) {
      aOne.mNextListAt = mNow + Millis(200);
      if (!aOne.mCutFromStore && (mFaultsStopped || !Chance(5))) {
        int entries = 0;
        for (const auto& [name, inside] : mEntries) {
          entries += inside ? 1 : 0;
        }
        takeover.OnListed(entries, mNow);
        mListedEmpty[aOne.mName] = entries == 0 ? mNow : TimePoint();
      }
    }
    aOne.mLease.SetWanted(takeover.MayLead(mNow), mNow);
  }

  // Reports to the lease step what LeaseLoop would.
  void ObserveHolder(Instance& aOne)
  {
    if (aOne.mLease.Released()) {
      return;
    }
    std::string claimant;
    for (const auto& [name, heard] : aOne.mHeard) {
      if (heard.second && Hears(aOne, name)) {
        claimant = name;
      }
    }
    if (!claimant.empty()) {
      aOne.mLease.OnHolderAnnounced(claimant, mNow);
      aOne.mLastClaimant = claimant;
    } else if (Hears(aOne, aOne.mLastClaimant)) {
      aOne.mLease.OnHolderReleased(mNow);
      aOne.mLastClaimant.clear();
    } else if (mNow >= aOne.mRecheckAt &&
               Hears(aOne, aOne.mLease.SeenHolder())) {
      aOne.mRecheckAt = mNow + Millis(500);
      aOne.mLease.RequestReread(mNow);
    }
  }

  void CarryOutDue(Instance& aOne)
  {
    LeaseAction action = aOne.mLease.Due(mNow);
    bool lost = aOne.mCutFromStore || (!mFaultsStopped && Chance(10));
    if (action == LeaseAction::Read && lost) {
      aOne.mLease.OnFailed(mNow);
    } else if (action == LeaseAction::Read) {
      aOne.mRecheckAt = mNow + Millis(500);
      aOne.mLease.OnRead(mRecord, mNow);
    } else if (action == LeaseAction::Write) {
      LeaseRecord wanted = aOne.mLease.WantedRecord();
      if (lost) { // carried out now, later or never, and not answered
        if (Chance(2)) {
          mLate.push_back({ mNow + Millis(mRandom() % 8000), wanted });
        }
        aOne.mLease.OnFailed(mNow);
      } else if (auto revision = Write(wanted)) {
        aOne.mLease.OnWritten(*revision, mNow, mNow);
      } else {
        aOne.mLease.OnConflict(mRecord, mNow);
      }
    }
  }

  std::optional<int64_t> Write(const LeaseRecord& aWanted)
  {
    if (aWanted.mRevision != (mRecord ? mRecord->mRevision : 0)) {
      return std::nullopt;
    }
    std::string before = mRecord ? mRecord->mHolder : "";
    mRecord = aWanted;
    mRecord->mRevision = ++mRevision;
    if (aWanted.mHolder[0] == 'o' && aWanted.mHolder != before) {
      ++mTakeovers;
    }
    return mRevision;
  }

  void RunLateWrites()
  {
    for (auto at = mLate.begin(); at != mLate.end();) {
      if (at->first <= mNow) {
        Write(at->second);
        at = mLate.erase(at);
      } else {
        ++at;
      }
    }
  }

  void Check()
  {
    for (auto& one : mInstances) {
      if (!one->mAlive || mNow < one->mFrozenUntil ||
          !one->mLease.MayAct(mNow)) {
        continue;
      }
      int64_t token = one->mLease.Token();
      bool other = one->mName != mActor;
      if (token < mToken || (other && token == mToken)) {
        mFault = one->mName + " acts under an outdated fencing token";
      }
      if (other && !mActor.empty() && mNow - mActedAt < LeaseTimes().mSilence) {
        mFault = one->mName + " acts within the silence after " + mActor;
      }
      auto listed = mListedEmpty.find(one->mName);
      if (!one->mInside &&
          (listed == mListedEmpty.end() || listed->second == TimePoint() ||
           mNow - listed->second >= ZoneTakeover::kMaxListAge)) {
        mFault =
          one->mName + " acts without a recent list that shows no instance";
      }
      mActor = one->mName;
      mActedAt = mNow;
      mToken = token;
    }
  }

  std::mt19937 mRandom;
  TimePoint mNow = kStart;
  int mRounds = 0;
  bool mFaultsStopped = false;
  std::vector<std::unique_ptr<Instance>> mInstances;
  std::map<std::string, bool> mEntries; // whether it belongs to the zone
  // By reader: when it last listed no instance; zero if its last list showed
  // one.
  std::map<std::string, TimePoint> mListedEmpty;
  std::optional<LeaseRecord> mRecord;
  int64_t mRevision = 0;
  std::deque<std::pair<TimePoint, LeaseRecord>> mLate;
  std::string mActor;
  TimePoint mActedAt{};
  int64_t mToken = 0;
};

constexpr unsigned kSeeds = 1000;

} // namespace

// Guards against two holders that act at once, and against an outsider that
// acts while the zone still has entries.
TEST(EmptyZoneRandom, OneHolderActsAndOutsidersOnlyWhenListIsEmpty)
{
  int takeovers = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    EmptyZoneModel model(seed);
    model.Run(Seconds(180));
    ASSERT_EQ("", model.mFault) << "seed " << seed;
    takeovers += model.mTakeovers;
  }
  EXPECT_GT(takeovers, static_cast<int>(kSeeds) / 2);
}

// Guards against servers without a leader after the last fault.
TEST(EmptyZoneRandom, ZoneIsLedAfterTheLastFault)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    EmptyZoneModel model(seed);
    model.Run(Seconds(90));
    model.EndFaults();
    EXPECT_TRUE(model.RunUntilLed(kMaxLeaderlessTime, model.InsiderLives()))
      << "seed " << seed;
    ASSERT_EQ("", model.mFault) << "seed " << seed;
  }
}

// Guards against a zone that is taken over and not handed back.
TEST(EmptyZoneRandom, TakenOverZoneIsHandedBack)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    EmptyZoneModel model(seed);
    model.Run(Seconds(60));
    model.EndFaults();
    model.Run(Seconds(15));
    model.EmptyZone();
    EXPECT_TRUE(model.RunUntilLed(kMaxLeaderlessTime, false))
      << "seed " << seed;
    model.Start("in0", true);
    EXPECT_TRUE(model.RunUntilLed(kMaxHandBackTime, true)) << "seed " << seed;
    ASSERT_EQ("", model.mFault) << "seed " << seed;
  }
}

} // namespace caraway
