#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

#include "decide/PlacementStep.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

constexpr int64_t kMemory = 100;
constexpr int64_t kBytes = 40;
constexpr Millis kMaxRecordAge{ 5000 };   // no order is sent on an older record
constexpr Millis kMaxDelay{ 20000 };      // longest network delay of an order
constexpr Millis kMaxOrderDelay{ 60000 }; // longer than the sum of both

struct SentOrder
{
  bool mLoad;
  PlacedReplica mReplica;
  TimePoint mSent;
};

std::string
StateKey(const PlacedReplica& aReplica)
{
  return aReplica.mDecision + "|" + std::to_string(aReplica.mFencingToken) +
         "|" + std::to_string(static_cast<int>(aReplica.mState));
}

std::vector<PlacedReplica>
AllReplicas(const PlacementRecord& aRecord)
{
  std::vector<PlacedReplica> all = aRecord.mReplicas;
  all.insert(all.end(), aRecord.mDeparted.begin(), aRecord.mDeparted.end());
  return all;
}

// An instance that decides, sends orders and observes; it may be paused between
// any two of these steps.
struct Decider
{
  PlacementRecord mRecord;
  int64_t mVersion = 0;
  TimePoint mAsOf{};
  std::string mToSend; // decision whose load order it is about to send
  std::map<std::string, TimePoint> mFirstSeen;
};

struct PlacementModel
{
  PlacementRecord mRecord;
  int64_t mVersion = 0;
  std::map<std::string, int64_t> mEngine; // bytes by name
  int64_t mHighestFencingToken = 0;
  std::vector<SentOrder> mOrdersInFlight;
  std::vector<std::string> mAnswered; // decisions whose order was answered
  std::vector<Decider> mDeciders = std::vector<Decider>(3);
  int mNextDecision = 0;

  void Read(Decider& aDecider, TimePoint aNow)
  {
    aDecider.mRecord = mRecord;
    aDecider.mVersion = mVersion;
    aDecider.mAsOf = aNow;
    for (const PlacedReplica& replica : AllReplicas(mRecord)) {
      aDecider.mFirstSeen.emplace(StateKey(replica), aNow);
    }
  }

  bool Store(Decider& aDecider, const PlacementRecord& aNext, TimePoint aNow)
  {
    bool current = aDecider.mVersion == mVersion;
    if (current) {
      mRecord = aNext;
      ++mVersion;
    }
    Read(aDecider, aNow);
    return current;
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
                 aNow - aDecider.mAsOf <= kMaxRecordAge;
      if (due) {
        mOrdersInFlight.push_back({ true, replica, aNow });
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
        mOrdersInFlight.push_back({ false, replica, aNow });
      }
    }
  }

  // The engine comes back empty and has seen no fencing token.
  void Restart()
  {
    mEngine.clear();
    mHighestFencingToken = 0;
  }

  void Deliver(size_t aIndex, bool aAnswered, TimePoint aNow)
  {
    SentOrder order = mOrdersInFlight[aIndex];
    mOrdersInFlight.erase(mOrdersInFlight.begin() + static_cast<long>(aIndex));
    if (aNow - order.mSent > kMaxDelay ||
        (mRecord.mChecksFencing &&
         order.mReplica.mFencingToken < mHighestFencingToken)) {
      return;
    }
    mHighestFencingToken =
      std::max(mHighestFencingToken, order.mReplica.mFencingToken);
    if (!order.mLoad) {
      mEngine.erase(order.mReplica.mName);
      return;
    }
    mEngine[order.mReplica.mName] = order.mReplica.mBytes;
    if (aAnswered) {
      mAnswered.push_back(order.mReplica.mDecision);
    }
  }

  void Acknowledge(Decider& aDecider, TimePoint aNow)
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
    std::set<std::string> expired;
    for (const PlacedReplica& replica : AllReplicas(aDecider.mRecord)) {
      auto since = aDecider.mFirstSeen.find(StateKey(replica));
      if (replica.mState != ReplicaState::Loading &&
          since != aDecider.mFirstSeen.end() &&
          aNow - since->second > kMaxOrderDelay) {
        expired.insert(replica.mDecision);
      }
    }
    PlacementRecord next = aDecider.mRecord;
    if (PlacementObserve(next, report, expired)) {
      Store(aDecider, next, aNow);
    }
  }

  // aRestarts: an order from before a restart may bring a replica back that has
  // left the record; it must find room.
  void Check(bool aRestarts) const
  {
    int64_t bytes = 0;
    for (const auto& held : mEngine) {
      bytes += held.second;
      RC_ASSERT(aRestarts || PlacementFind(mRecord, held.first, "") != nullptr);
    }
    RC_ASSERT(bytes <= kMemory);
    RC_ASSERT(PlacementCharged(mRecord) <= kMemory);
  }
};

void
RunModel(bool aChecksFencing, bool aRestarts)
{
  RandomChoices choices = RandomChoices::OfLength(500);
  PlacementModel model;
  model.mRecord.mMemory = kMemory;
  model.mRecord.mChecksFencing = aChecksFencing;
  TimePoint now = TimePoint(Seconds(1000));
  while (!choices.Ended()) {
    now += Millis(choices.Below(4) == 0 ? choices.Below(200) * 400 : 0);
    Decider& decider = model.mDeciders[static_cast<size_t>(choices.Below(3))];
    if (aRestarts && choices.Below(30) == 0) {
      model.Restart();
    }
    switch (choices.Below(9)) {
      case 0:
        model.Read(decider, now);
        break;
      case 1:
        model.Decide(decider, choices.Below(4), now);
        break;
      case 2:
        model.Send(decider, now);
        break;
      case 3:
        model.Resend(decider, now);
        break;
      case 4:
        model.Unload(decider, choices.Below(4), now);
        break;
      case 5:
        model.Acknowledge(decider, now);
        break;
      case 6:
        model.Observe(decider, now);
        break;
      default:
        if (!model.mOrdersInFlight.empty()) {
          int count = static_cast<int>(model.mOrdersInFlight.size());
          model.Deliver(static_cast<size_t>(choices.Below(count)),
                        choices.Below(2) == 0,
                        now);
        }
        break;
    }
    model.Check(aRestarts);
  }
}

} // namespace

// Guards against replicas that nobody decided, and against overcommitted
// memory. In any order: three instances decide, send, resend and observe
// concurrently, each paused between any two steps; orders arrive late, out of
// order or never, and their answers are lost.
RC_GTEST_PROP(Placement, EngineHoldsOnlyDecidedReplicas, ())
{
  RunModel(true, false);
}

// The same for an engine that accepts every order, however old its fencing
// token.
RC_GTEST_PROP(Placement, EngineIgnoringFencingHoldsOnlyDecidedReplicas, ())
{
  RunModel(false, false);
}

// Guards against memory overcommitted by an order from before an engine's
// restart, which clears the fencing tokens that it has seen.
RC_GTEST_PROP(Placement, EngineThatRestartsIsNotOvercommitted, ())
{
  RunModel(true, true);
}

RC_GTEST_PROP(Placement,
              EngineIgnoringFencingThatRestartsIsNotOvercommitted,
              ())
{
  RunModel(false, true);
}

} // namespace caraway
