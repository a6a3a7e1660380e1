// Random instances, servers and answers: late, doubled, unmarked, replaced,
// without an id or cut, and peers that stop and run the request later. An
// instance may get the request more than once, and uses its connections again.
// A request that must not be repeated runs once at most, and a caller is told
// "not run" only if it hasn't run and never will.

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <tuple>

#include "decide/CarriedRequests.h"
#include "decide/RunProof.h"

namespace caraway {

namespace {

constexpr int kServers = 3;
constexpr int kInstances = 3;   // besides the one that the caller asks
constexpr int kConnections = 2; // kept, to each server and instance
constexpr int kMaxSends = 3;

const std::string kOwnId = "own";
const std::string kOtherId = "other";

// What an instance may do wrong.
enum class Sabotage
{
  None,
  BelievesUnmarked,   // any refusal is a proof
  BelievesWithoutId,  // an answer without an id is the request's
  SameConnection,     // sends on connections that have carried the request
  ForgetsVisits,      // the same if that was in an earlier visit of the request
  ForgetsEarlierSends // tells the caller what the last answer says
};

struct ModelAnswer
{
  AnswerMarks mMarks;
  bool mHead = true; // false: the connection ended before an answer
};

struct ModelConnection
{
  CarriedRequests mCarried;
  std::deque<AnswerMarks> mDue; // answers that were not read yet
  bool mUsed = false;
};

// From an instance, to a server or instance, and which one of them.
using ConnectionName = std::tuple<int, int, int>;

class RunModel
{
public:
  RunModel(unsigned aSeed, Sabotage aSabotage)
    : mRandom(aSeed)
    , mSabotage(aSabotage)
    , mRepeatable(Percent(20))
  {
  }

  // The status at the caller; 0 = no answer.
  int CallerStatus() { return AtInstance(0).mMarks.mStatus; }
  int Runs() const { return mRuns; }
  bool Repeatable() const { return mRepeatable; }

private:
  using CarriedInVisit = std::map<ConnectionName, CarriedRequests>;

  bool Percent(int aShare) { return Below(100) < aShare; }
  int Below(int aLimit)
  {
    return std::uniform_int_distribution<int>(0, aLimit - 1)(mRandom);
  }
  int Promise()
  {
    constexpr int kStatuses[] = { 408, 421, 429, 503 };
    return kStatuses[Below(4)];
  }

  // A server refuses and says so, runs and answers, or stops and runs later.
  ModelAnswer AtServer()
  {
    ModelAnswer answer;
    answer.mMarks.mId = kOwnId;
    int what = Below(10);
    if (what < 6) {
      answer.mMarks.mStatus = Percent(90) ? Promise() : 400;
      answer.mMarks.mServerNotRun = true;
    } else if (what < 9) {
      ++mRuns;
      answer.mMarks.mStatus = Percent(70) ? 200 : Percent(50) ? 500 : Promise();
    } else {
      ++mRuns;
      answer.mHead = false;
    }
    return answer;
  }

  // Instance aSelf sends the request on until something is known of it. The
  // caller asks instance 0, which may forward it to any other one.
  ModelAnswer AtInstance(int aSelf)
  {
    bool forwarded = aSelf != 0;
    RunHistory history;
    CarriedInVisit visit;
    for (int send = 0; send < kMaxSends; ++send) {
      if (!history.MaySend(mRepeatable, 2)) {
        break;
      }
      SendTarget target =
        !forwarded && Percent(30) ? SendTarget::Instance : SendTarget::Server;
      if (Percent(10)) {
        history.OnSendEnded(RunProof::NotWritten);
        continue;
      }
      auto got = Transmit(target, aSelf, visit);
      RunProof proof = Prove(target, got);
      history.OnSendEnded(proof);
      if (proof == RunProof::Refused) {
        continue;
      }
      bool mayGoOn = mRepeatable && (!got || got->mStatus >= 500);
      if (!mayGoOn) {
        return Final(got ? got->mStatus : 502, history, forwarded, got);
      }
    }
    return Final(503, history, forwarded, std::nullopt);
  }

  // A kept connection if one may carry the request, or a new one.
  ConnectionName Choose(int aFrom, int aTo, CarriedInVisit& aVisit)
  {
    ConnectionName name{ aFrom, aTo, Below(kConnections) };
    bool may = mSabotage == Sabotage::ForgetsVisits
                 ? aVisit[name].MayCarry(mIdentity)
                 : mConnections[name].mCarried.MayCarry(mIdentity);
    if (!may && mSabotage != Sabotage::SameConnection) {
      std::get<2>(name) = mNextConnection++;
    }
    aVisit[name].Add(mIdentity, TimePoint());
    mConnections[name].mCarried.Add(mIdentity, TimePoint());
    return name;
  }

  // Answers by what this instance knows.
  ModelAnswer Final(int aStatus,
                    const RunHistory& aHistory,
                    bool aForwarded,
                    const std::optional<AnswerMarks>& aGot)
  {
    ModelAnswer answer;
    answer.mMarks.mId = kOwnId;
    bool forgets = mSabotage == Sabotage::ForgetsEarlierSends;
    answer.mMarks.mStatus =
      forgets || (mRepeatable && aGot) ? aStatus : aHistory.StatusFor(aStatus);
    answer.mMarks.mInstanceNotRun =
      aForwarded && !aGot && !aHistory.MayHaveRun();
    return answer;
  }

  // The answer that is taken for the one to a send of instance aFrom.
  std::optional<AnswerMarks> Transmit(SendTarget aTarget,
                                      int aFrom,
                                      CarriedInVisit& aVisit)
  {
    bool toInstance = aTarget == SendTarget::Instance;
    int peer = toInstance ? 1 + Below(kInstances) : 0;
    int to = toInstance ? kServers + peer : Below(kServers);
    ModelConnection& connection = mConnections[Choose(aFrom, to, aVisit)];
    bool used = std::exchange(connection.mUsed, true) || Percent(50);
    std::deque<AnswerMarks>& due = connection.mDue;
    if (used && Percent(10)) {
      due.push_back(Stray());
    }
    ModelAnswer answer = toInstance ? AtInstance(peer) : AtServer();
    if (answer.mHead && !Percent(5)) {
      Distort(answer.mMarks);
      due.push_back(answer.mMarks);
      if (Percent(15)) {
        due.push_back(answer.mMarks); // once more, before the next one
      }
    }
    while (!due.empty()) {
      AnswerMarks marks = due.front();
      due.pop_front();
      AnswerOwner owner = OwnerOf(marks, kOwnId, used);
      if (mSabotage == Sabotage::BelievesWithoutId && marks.mId.empty()) {
        owner = AnswerOwner::This;
      }
      if (owner == AnswerOwner::This) {
        return marks;
      }
      if (owner == AnswerOwner::Unsure) {
        break;
      }
    }
    return std::nullopt;
  }

  // A late answer to another request, or one of whoever closes idle
  // connections.
  AnswerMarks Stray()
  {
    AnswerMarks marks;
    marks.mStatus = Promise();
    marks.mId = Percent(50) ? kOtherId : "";
    marks.mServerNotRun = Percent(50);
    return marks;
  }

  // What is between may drop marks or make an answer of its own. It forges
  // none.
  void Distort(AnswerMarks& aMarks)
  {
    if (Percent(10)) {
      aMarks.mServerNotRun = false;
      aMarks.mInstanceNotRun = false;
    }
    if (Percent(10)) {
      aMarks.mId = "";
    }
    if (Percent(10)) {
      aMarks = AnswerMarks();
      aMarks.mStatus = Promise();
    }
  }

  RunProof Prove(SendTarget aTarget, const std::optional<AnswerMarks>& aGot)
  {
    if (!aGot) {
      return RunProof::None;
    }
    if (mSabotage == Sabotage::BelievesUnmarked &&
        PromisesNotRun(aGot->mStatus)) {
      return RunProof::Refused;
    }
    return ProofOf(aTarget, *aGot);
  }

  std::mt19937 mRandom;
  Sabotage mSabotage;
  bool mRepeatable;
  int mRuns = 0;
  int mNextConnection = kConnections;
  std::map<ConnectionName, ModelConnection> mConnections;
  const RequestIdentity mIdentity{ AnswerIdentity::RequestId,
                                   kOwnId,
                                   TimePoint::max() };
};

struct Broken
{
  int mRefusedAndRun = 0;
  int mTwice = 0;
  int mPromised = 0; // truly
};

Broken
PlayModels(Sabotage aSabotage)
{
  constexpr unsigned kModels = 20000;
  Broken broken;
  for (unsigned seed = 0; seed < kModels; ++seed) {
    RunModel model(seed, aSabotage);
    int status = model.CallerStatus();
    if (model.Repeatable()) {
      continue;
    }
    bool promised = PromisesNotRun(status);
    broken.mRefusedAndRun += promised && model.Runs() > 0 ? 1 : 0;
    broken.mPromised += promised && model.Runs() == 0 ? 1 : 0;
    broken.mTwice += model.Runs() > 1 ? 1 : 0;
  }
  return broken;
}

} // namespace

// Guards against a second run and against "not run" for a request that ran, by
// whatever answers come.
TEST(RunProofModel, RunsOnceAndRefusalsAreTrue)
{
  Broken broken = PlayModels(Sabotage::None);
  EXPECT_EQ(0, broken.mRefusedAndRun);
  EXPECT_EQ(0, broken.mTwice);
  EXPECT_GT(broken.mPromised, 500); // refusals with a proof are passed on
}

// The model shows each of these faults.
TEST(RunProofModel, ModelShowsWhoBelievesTooMuch)
{
  Broken unmarked = PlayModels(Sabotage::BelievesUnmarked);
  EXPECT_GT(unmarked.mRefusedAndRun, 0);
  EXPECT_GT(unmarked.mTwice, 0);
  Broken withoutId = PlayModels(Sabotage::BelievesWithoutId);
  EXPECT_GT(withoutId.mRefusedAndRun + withoutId.mTwice, 0);
  Broken same = PlayModels(Sabotage::SameConnection);
  EXPECT_GT(same.mRefusedAndRun + same.mTwice, 0);
  Broken visits = PlayModels(Sabotage::ForgetsVisits);
  EXPECT_GT(visits.mRefusedAndRun + visits.mTwice, 0);
  Broken forgets = PlayModels(Sabotage::ForgetsEarlierSends);
  EXPECT_GT(forgets.mRefusedAndRun, 0);
}

} // namespace caraway
