#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

#include "decide/PlacementStep.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

constexpr int64_t kMemory = 100;
constexpr int64_t kBytes = 40;
constexpr Millis kFresh{ 5000 };    // no order on a record seen longer ago
constexpr Millis kDelay{ 20000 };   // longest way of an order
constexpr Millis kHorizon{ 60000 }; // longer than both together

struct Copy
{
  bool mLoad;
  PlacedReplica mReplica;
  TimePoint mSent;
};

// An instance that decides, orders and observes; may be paused between any
// two of these.
struct Decider
{
  PlacementRecord mRecord;
  int64_t mVersion = 0;
  TimePoint mAsOf{};
  std::string mToSend; // decision whose load it is about to order
  std::map<std::string, TimePoint> mSince;
};

struct World
{
  PlacementRecord mRecord;
  int64_t mVersion = 0;
  std::map<std::string, int64_t> mEngine; // name: bytes
  int64_t mHighestFencingToken = 0;
  std::vector<Copy> mOnTheWay;
  std::vector<std::string> mAnswered; // decisions whose one order was answered
  std::vector<Decider> mDeciders = std::vector<Decider>(3);
  int mNextDecision = 0;

  void Read(Decider& aDecider, TimePoint aNow)
  {
    aDecider.mRecord = mRecord;
    aDecider.mVersion = mVersion;
    aDecider.mAsOf = aNow;
    for (const PlacedReplica& replica : mRecord.mReplicas) {
      aDecider.mSince.emplace(
        replica.mDecision + std::to_string(replica.mFencingToken), aNow);
    }
  }

  bool Store(Decider& aDecider, const PlacementRecord& aNext, TimePoint aNow)
  {
    bool stands = aDecider.mVersion == mVersion;
    if (stands) {
      mRecord = aNext;
      ++mVersion;
    }
    Read(aDecider, aNow);
    return stands;
  }

  void Decide(Decider& aDecider, int aModel, TimePoint aNow)
  {
    PlacementRecord next = aDecider.mRecord;
    PlacementLoad load;
    load.mName = "m" + std::to_string(aModel);
    load.mBytes = kBytes;
    load.mDecision = "d" + std::to_string(mNextDecision++);
    if (PlacementDecideLoad(next, load) && Store(aDecider, next, aNow)) {
      aDecider.mToSend = load.mDecision;
    }
  }

  void Resend(Decider& aDecider, TimePoint aNow)
  {
    for (const PlacedReplica& replica : aDecider.mRecord.mReplicas) {
      PlacementRecord next = aDecider.mRecord;
      if (PlacementResend(next, replica.mDecision)) {
        std::string decision = replica.mDecision;
        if (Store(aDecider, next, aNow)) {
          aDecider.mToSend = decision;
        }
        return;
      }
    }
  }

  void Send(Decider& aDecider, TimePoint aNow)
  {
    for (const PlacedReplica& replica : aDecider.mRecord.mReplicas) {
      bool due = replica.mDecision == aDecider.mToSend &&
                 replica.mState == ReplicaState::Loading &&
                 aNow - aDecider.mAsOf <= kFresh;
      if (due) {
        mOnTheWay.push_back({ true, replica, aNow });
      }
    }
    aDecider.mToSend.clear();
  }

  void Unload(Decider& aDecider, int aModel, TimePoint aNow)
  {
    PlacementRecord next = aDecider.mRecord;
    if (PlacementDecideUnload(next, "m" + std::to_string(aModel), "")) {
      Store(aDecider, next, aNow);
    }
    for (const PlacedReplica& replica : aDecider.mRecord.mReplicas) {
      if (replica.mState == ReplicaState::Unloading) {
        mOnTheWay.push_back({ false, replica, aNow });
      }
    }
  }

  void Deliver(size_t aIndex, bool aAnswered, TimePoint aNow)
  {
    Copy copy = mOnTheWay[aIndex];
    mOnTheWay.erase(mOnTheWay.begin() + static_cast<long>(aIndex));
    if (aNow - copy.mSent > kDelay ||
        (mRecord.mChecksFencing &&
         copy.mReplica.mFencingToken < mHighestFencingToken)) {
      return;
    }
    mHighestFencingToken =
      std::max(mHighestFencingToken, copy.mReplica.mFencingToken);
    if (!copy.mLoad) {
      mEngine.erase(copy.mReplica.mName);
      return;
    }
    mEngine[copy.mReplica.mName] = copy.mReplica.mBytes;
    if (aAnswered) {
      mAnswered.push_back(copy.mReplica.mDecision);
    }
  }

  void Settle(Decider& aDecider, TimePoint aNow)
  {
    for (const std::string& decision : mAnswered) {
      PlacementRecord next = aDecider.mRecord;
      if (PlacementAcknowledge(next, decision)) {
        Store(aDecider, next, aNow);
        return;
      }
    }
  }

  void Observe(Decider& aDecider, TimePoint aNow)
  {
    EngineReport report;
    report.mHighestFencingToken =
      mRecord.mChecksFencing ? mHighestFencingToken : 0;
    for (const auto& held : mEngine) {
      EngineReplica replica;
      replica.mName = held.first;
      replica.mBytes = held.second;
      replica.mReady = true;
      report.mReplicas.push_back(replica);
    }
    std::set<std::string> past;
    for (const PlacedReplica& replica : aDecider.mRecord.mReplicas) {
      auto since = aDecider.mSince.find(replica.mDecision +
                                        std::to_string(replica.mFencingToken));
      if (replica.mState == ReplicaState::Unloading &&
          since != aDecider.mSince.end() && aNow - since->second > kHorizon) {
        past.insert(replica.mDecision);
      }
    }
    PlacementRecord next = aDecider.mRecord;
    if (PlacementObserve(next, report, past)) {
      Store(aDecider, next, aNow);
    }
  }

  void Check() const
  {
    int64_t bytes = 0;
    for (const auto& held : mEngine) {
      bytes += held.second;
      RC_ASSERT(PlacementFind(mRecord, held.first, "") != nullptr);
    }
    RC_ASSERT(bytes <= kMemory);
    RC_ASSERT(PlacementCharged(mRecord) <= kMemory);
  }
};

void
RunWorld(bool aChecksFencing)
{
  RandomChoices tape = RandomChoices::OfLength(500);
  World world;
  world.mRecord.mMemory = kMemory;
  world.mRecord.mChecksFencing = aChecksFencing;
  TimePoint now = TimePoint(Seconds(1000));
  while (!tape.Ended()) {
    now += Millis(tape.Below(4) == 0 ? tape.Below(200) * 400 : 0);
    Decider& decider = world.mDeciders[static_cast<size_t>(tape.Below(3))];
    switch (tape.Below(9)) {
      case 0:
        world.Read(decider, now);
        break;
      case 1:
        world.Decide(decider, tape.Below(4), now);
        break;
      case 2:
        world.Send(decider, now);
        break;
      case 3:
        world.Resend(decider, now);
        break;
      case 4:
        world.Unload(decider, tape.Below(4), now);
        break;
      case 5:
        world.Settle(decider, now);
        break;
      case 6:
        world.Observe(decider, now);
        break;
      default:
        if (!world.mOnTheWay.empty()) {
          int count = static_cast<int>(world.mOnTheWay.size());
          world.Deliver(
            static_cast<size_t>(tape.Below(count)), tape.Below(2) == 0, now);
        }
        break;
    }
    world.Check();
  }
}

} // namespace

// What operators see: an engine never holds a replica that nobody decided, nor
// more than its memory. In any order: three instances decide, send, send again
// and observe at once, each paused between any two steps; orders arrive late,
// out of order or never; their answers are lost.
RC_GTEST_PROP(Placement, EngineHoldsOnlyWhatIsDecided, ())
{
  RunWorld(true);
}

// The same at an engine that takes every order, however old its number.
RC_GTEST_PROP(Placement, EngineThatIgnoresFencingHoldsOnlyWhatIsDecided, ())
{
  RunWorld(false);
}

} // namespace caraway
