// A tenant's limit over instances that come, go, are cut off and lend to each
// other: never exceeded, and reachable wherever it is asked for.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <set>

#include "decide/RateSplit.h"
#include "decide/TenantTokenBucket.h"
#include "decide/ZoneMembers.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

// ---- Who may spend

struct StoreEntry
{
  int mRevision = 0;
  bool mCounted = false;
  bool mMarked = false;
};

struct Node
{
  explicit Node(const std::string& aName)
    : mName(aName)
    , mZone(aName)
  {
  }

  std::string mName;
  ZoneMembers mZone;
  bool mAlive = true;
  bool mCutFromStore = false;
  int mSide = 0; // nodes of different sides don't hear each other
  int mRevision = 0;
  bool mRecordedCounted = false;
  TimePoint mListNext{};
  TimePoint mTryNext{};
  std::map<std::string, int> mSeen; // revisions, as listed
};

// A zone of instances, its store, and whatever befalls them.
class ZoneModel
{
public:
  explicit ZoneModel(unsigned aSeed)
    : mRandom(aSeed)
  {
    size_t count = 2 + mRandom() % 3;
    for (size_t i = 0; i < count; ++i) {
      Start("n" + std::to_string(i));
    }
  }

  // The largest sum of the parts that are spent at any moment.
  double Run(Millis aTime)
  {
    double most = 0;
    for (TimePoint end = mNow + aTime; mNow < end; mNow += kStep) {
      Trouble();
      for (auto& node : mNodes) {
        RunPass(*node);
      }
      RunLateWrites();
      most = std::max(most, Sum());
    }
    return most;
  }

  double Sum() const
  {
    double sum = 0;
    for (const auto& node : mNodes) {
      if (node->mAlive && node->mZone.MaySpend(mNow)) {
        sum += 1.0 / static_cast<double>(node->mZone.All().size());
      }
    }
    return sum;
  }

  // No more trouble; who is dead stays dead.
  void Heal()
  {
    mFaultsStopped = true;
    for (auto& node : mNodes) {
      node->mSide = 0;
      node->mCutFromStore = false;
    }
  }

  size_t Alive() const
  {
    return static_cast<size_t>(
      std::count_if(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
        return aNode->mAlive;
      }));
  }

private:
  static constexpr Millis kStep{ 50 };
  static constexpr int kHeartbeatSteps = 5;

  // A call that is carried out later, if its condition still holds.
  struct LateCall
  {
    TimePoint mAt{};
    std::string mName;
    int mRevision = 0;
    bool mMark = false; // else it removes
  };

  bool Chance(unsigned aOneIn) { return mRandom() % aOneIn == 0; }

  void Start(const std::string& aName)
  {
    mNodes.push_back(std::make_unique<Node>(aName));
  }

  void Trouble()
  {
    if (mFaultsStopped) {
      return;
    }
    Node& any = *mNodes[mRandom() % mNodes.size()];
    if (Chance(100)) {
      any.mAlive = false; // killed
    }
    if (!any.mAlive && Chance(40)) { // under the same name, with nothing
      std::string name = any.mName;
      any = Node(name);
    }
    if (Chance(200)) {
      any.mSide = static_cast<int>(mRandom() % 2);
    }
    if (Chance(200)) {
      any.mCutFromStore = !any.mCutFromStore;
    }
    if (any.mAlive && Chance(300)) {
      Leave(any);
    }
    if (Chance(600) && mNodes.size() < 6) {
      Start("x" + std::to_string(mNodes.size()));
    }
  }

  // Its mates are told once the store has removed its entry.
  void Leave(Node& aNode)
  {
    aNode.mZone.Leave();
    aNode.mAlive = false;
    auto own = mEntries.find(aNode.mName);
    bool removed = !aNode.mCutFromStore && own != mEntries.end() &&
                   own->second.mRevision == aNode.mRevision;
    if (!removed) {
      return;
    }
    mEntries.erase(own);
    for (auto& mate : mNodes) {
      if (mate->mAlive && mate->mSide == aNode.mSide) {
        mate->mZone.OnLeft(aNode.mName);
      }
    }
  }

  static bool Hears(const Node& aOne, const Node& aOther)
  {
    return aOne.mAlive && aOther.mAlive && &aOne != &aOther &&
           aOne.mSide == aOther.mSide;
  }

  void RunPass(Node& aNode)
  {
    if (!aNode.mAlive) {
      return;
    }
    aNode.mZone.Tick(mNow);
    if (!aNode.mCutFromStore) {
      UseStore(aNode);
    }
    if ((mNow - kStart) / kStep % kHeartbeatSteps == 0) {
      Pulse(aNode);
    }
    for (const std::string& name : aNode.mZone.Unconfirmed()) {
      for (auto& mate : mNodes) {
        if (mate->mName == name && Hears(aNode, *mate)) {
          mate->mZone.OnNewcomer(aNode.mName, mNow);
          aNode.mZone.OnConfirmed(name);
        }
      }
    }
  }

  void Pulse(Node& aNode)
  {
    for (auto& mate : mNodes) {
      if (Hears(*mate, aNode) && !Chance(10)) {
        mate->mZone.OnHeartbeat(aNode.mName, aNode.mZone.Pulse(mNow), mNow);
      }
    }
  }

  void UseStore(Node& aNode)
  {
    ZoneMembers& zone = aNode.mZone;
    if (aNode.mRevision == 0 || zone.MustJoin()) {
      auto found = mEntries.find(aNode.mName);
      bool counted = found != mEntries.end() && found->second.mCounted;
      aNode.mRevision = ++mRevision;
      mEntries[aNode.mName] = { aNode.mRevision, counted, false };
      aNode.mRecordedCounted = counted;
      aNode.mListNext = mNow;
      zone.OnJoined(counted, mNow);
    }
    if (mNow >= aNode.mListNext) {
      List(aNode);
    }
    auto own = mEntries.find(aNode.mName);
    bool mine =
      own != mEntries.end() && own->second.mRevision == aNode.mRevision;
    if (!aNode.mRecordedCounted && zone.MaySpend(mNow) && mine) {
      aNode.mRevision = ++mRevision;
      own->second = { aNode.mRevision, true, false };
      aNode.mRecordedCounted = true;
    }
    if (mNow >= aNode.mTryNext) {
      Forget(aNode);
    }
  }

  // The answer may be lost, and the call be carried out later.
  void Forget(Node& aNode)
  {
    const ZoneMembers& zone = aNode.mZone;
    for (const std::string& mate : zone.All()) {
      bool mark = zone.MayMark(mate, mNow);
      if (mark || zone.MayRemove(mate, mNow)) {
        Millis late = Chance(3) ? Millis(mRandom() % 3000) : Millis(0);
        mLate.push_back({ mNow + late, mate, aNode.mSeen[mate], mark });
        aNode.mListNext = std::min(aNode.mListNext, mNow + Millis(200));
        aNode.mTryNext = mNow + Millis(500);
      }
    }
  }

  void List(Node& aNode)
  {
    std::vector<MemberEntry> entries;
    for (const auto& [name, entry] : mEntries) {
      entries.push_back(
        { name, entry.mRevision, entry.mCounted, entry.mMarked });
      aNode.mSeen[name] = entry.mRevision;
    }
    aNode.mZone.OnListed(entries, mNow, mNow);
    bool needed = aNode.mZone.NeedsStore(mNow);
    aNode.mListNext = mNow + (needed ? Seconds(1) : Seconds(10));
  }

  void RunLateWrites()
  {
    for (auto at = mLate.begin(); at != mLate.end();) {
      if (mNow < at->mAt) {
        ++at;
        continue;
      }
      auto found = mEntries.find(at->mName);
      if (found != mEntries.end() && found->second.mRevision == at->mRevision) {
        if (at->mMark) {
          found->second.mMarked = true;
          found->second.mRevision = ++mRevision;
        } else {
          mEntries.erase(found);
        }
      }
      at = mLate.erase(at);
    }
  }

  std::mt19937 mRandom;
  TimePoint mNow = kStart;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<std::string, StoreEntry> mEntries;
  std::vector<LateCall> mLate;
  int mRevision = 0;
  bool mFaultsStopped = false;
};

// ---- What is spent

TenantLimit
Limit(double aRate, double aBurst)
{
  TenantLimit limit;
  limit.mName = "t";
  limit.mRate = aRate;
  limit.mBurst = aBurst;
  limit.mInTokens = true;
  return limit;
}

struct Grant
{
  TimePoint mAt{};
  double mTokens = 0;
};

// Instances with a part each, and loans between them that take their time or
// are lost.
class TokenModel
{
public:
  TokenModel(unsigned aSeed, size_t aInstances, const TenantLimit& aLimit)
    : mRandom(aSeed)
    , mLimit(aLimit)
    , mPurses(aInstances)
  {
    for (size_t i = 0; i < aInstances; ++i) {
      Make(i);
    }
  }

  // aWeights: how much of the demand each instance has.
  void Run(Millis aTime,
           double aAskedPerSecond,
           const std::vector<double>& aWeights,
           double aMeanTokens)
  {
    std::discrete_distribution<size_t> where(aWeights.begin(), aWeights.end());
    std::uniform_real_distribution<double> size(0.2, 1.8);
    double due = 0;
    for (TimePoint end = mNow + aTime; mNow < end; mNow += Millis(1)) {
      due += aAskedPerSecond / 1000;
      while (due > 0) {
        QueuedTokenRequest want;
        want.mId = ++mNextId;
        want.mTokens = size(mRandom) * aMeanTokens;
        want.mUntil = mNow + Millis(50);
        due -= want.mTokens;
        mAsked += want.mTokens;
        mTokens[want.mId] = want.mTokens;
        mPurses[where(mRandom)].Wait(want, mNow);
      }
      Loans();
      for (size_t i = 0; i < mPurses.size(); ++i) {
        Step(i);
      }
    }
  }

  void Kill(size_t aInstance)
  {
    mPurses[aInstance] = TenantTokenBucket();
    Make(aInstance);
  }

  double Granted() const { return mGranted; }
  double Asked() const { return mAsked; }
  void Reset() { mGranted = mAsked = 0; }

  // Most tokens above rate and burst in any span.
  double Excess() const
  {
    double excess = -mLimit.mBurst;
    double lowest = 0;
    double sum = 0;
    // Sum of a span less its rate, by running minimum.
    for (const Grant& grant : mGrants) {
      double rate = mLimit.mRate *
                    std::chrono::duration<double>(grant.mAt - kStart).count();
      lowest = std::min(lowest, sum - rate);
      sum += grant.mTokens;
      excess = std::max(excess, sum - rate - lowest - mLimit.mBurst);
    }
    return excess;
  }

  double mLost = 0; // share of loans whose answer is lost

private:
  struct Loan
  {
    TimePoint mAt{};
    TimePoint mAsked{};
    size_t mTo = 0;
    std::string mHolder;
    TokenLoan mLoan;
    bool mLost = false;
  };

  void Make(size_t aInstance)
  {
    double part = 1.0 / static_cast<double>(mPurses.size());
    mPurses[aInstance].SetPart(mLimit, part, mNow);
    std::vector<std::string> others;
    for (size_t i = 1; i < mPurses.size(); ++i) {
      others.push_back(std::to_string((aInstance + i) % mPurses.size()));
    }
    mPurses[aInstance].SetHolders(others);
  }

  void Step(size_t aInstance)
  {
    TenantBucketStep step = mPurses[aInstance].Step(mNow);
    for (const TokenPaid& paid : step.mPaid) {
      mGranted += mTokens[paid.mId];
      mGrants.push_back({ mNow, mTokens[paid.mId] });
    }
    if (!step.mCall) {
      return;
    }
    auto holder = static_cast<size_t>(std::stoi(step.mCall->mHolder));
    std::uniform_real_distribution<double> chance(0, 1);
    Loan loan;
    loan.mAsked = mNow;
    loan.mTo = aInstance;
    loan.mHolder = step.mCall->mHolder;
    loan.mLoan =
      mPurses[holder].Lend(step.mCall->mTokens, step.mCall->mReserve, mNow);
    loan.mLost = chance(mRandom) < mLost;
    Millis slow = chance(mRandom) < mLost ? Millis(80) : Millis(3);
    loan.mAt = mNow + (loan.mLost ? kLoanLife : slow);
    mLoans.push_back(loan);
  }

  void Loans()
  {
    std::vector<Loan> later;
    for (const Loan& loan : mLoans) {
      if (mNow < loan.mAt) {
        later.push_back(loan);
      } else if (loan.mLost) {
        mPurses[loan.mTo].OnNoLoan(loan.mHolder, mNow);
      } else {
        mPurses[loan.mTo].OnLoan(loan.mHolder, loan.mLoan, loan.mAsked, mNow);
      }
    }
    mLoans = std::move(later);
  }

  std::mt19937 mRandom;
  TenantLimit mLimit;
  TimePoint mNow = kStart;
  std::vector<TenantTokenBucket> mPurses;
  std::vector<Loan> mLoans;
  std::map<uint64_t, double> mTokens;
  std::vector<Grant> mGrants;
  uint64_t mNextId = 0;
  double mGranted = 0;
  double mAsked = 0;
};

} // namespace

// Guards against two that count different mates and together spend more than
// the zone's part: through kills, cuts, planned ends and late calls.
TEST(ZoneMembersRandom, SpentPartsNeverExceedTheLimit)
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    ZoneModel world(seed);
    ASSERT_LE(world.Run(Seconds(60)), 1 + 1e-9) << "seed " << seed;
  }
}

// Guards against parts that stay idle: with all cuts healed and the dead
// forgotten, everything is spent by somebody.
TEST(ZoneMembersRandom, LimitIsFullySpendableAfterFaultsEnd)
{
  for (unsigned seed = 1; seed <= 100; ++seed) {
    ZoneModel world(seed);
    world.Run(Seconds(20));
    world.Heal();
    world.Run(Seconds(90));
    if (world.Alive() > 0) {
      EXPECT_GE(world.Sum(), 1 - 1e-9) << "seed " << seed;
    }
  }
}

// Guards against tokens spent twice on their way between instances.
TEST(TenantTokenBucketRandom, NeverAboveTheLimit)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    TenantLimit limit = Limit(20000, seed % 2 ? 20000 : 45000);
    TokenModel world(seed, 2 + seed % 7, limit);
    world.mLost = 0.05 * (seed % 4);
    for (int phase = 0; phase < 6; ++phase) {
      std::vector<double> weights;
      for (size_t i = 0; i < 2 + seed % 7; ++i) {
        weights.push_back(1 + static_cast<double>(random() % 5) * 4);
      }
      double asked = 20000 * (0.3 + random() % 4);
      world.Run(Millis(700), asked, weights, 900);
      world.Kill(random() % (2 + seed % 7));
    }
    ASSERT_LE(world.Excess(), 1) << "seed " << seed;
  }
}

// A tenant's callers keep connections to a few instances of seven, and ask for
// up to six times the limit. In touch and past the first second, 0.95 of what
// it asks for and may have is let in.
TEST(TenantTokenBucket, LimitIsReachedWhereverItIsAskedFor)
{
  TenantLimit limit = Limit(30000, 45000);
  std::vector<std::vector<double>> shapes = { { 1, 1, 1, 1, 1, 1, 1 },
                                              { 1, 0, 0, 0, 0, 0, 0 },
                                              { 4, 2, 1, 0, 0, 0, 0 } };
  for (const auto& shape : shapes) {
    for (double load : { 0.8, 1.0, 1.5, 6.0 }) {
      TokenModel world(7, 7, limit);
      world.Run(Seconds(2), limit.mRate * load, shape, 900);
      world.Reset();
      world.Run(Seconds(5), limit.mRate * load, shape, 900);
      double may = std::min(world.Asked(), limit.mRate * 5);
      EXPECT_GE(world.Granted() / may, 0.95) << "load " << load;
    }
  }
}

// Guards against a large request that no single part could ever pay.
TEST(TenantTokenBucket, RequestLargerThanAPartIsPaid)
{
  TenantLimit limit = Limit(20000, 20000);
  TokenModel world(3, 7, limit);
  world.Run(Seconds(2), 1, { 1, 0, 0, 0, 0, 0, 0 }, 10);
  world.Reset();
  world.Run(Millis(300), 30000, { 1, 0, 0, 0, 0, 0, 0 }, 6000);
  EXPECT_GE(world.Granted(), 4000);
}

// A tenant asks for three times its limit, mostly for what is least urgent:
// its urgent requests still find tokens.
TEST(TenantTokenBucket, UrgentRoutesFindTokensInAnOverload)
{
  TenantLimit limit = Limit(10000, 10000);
  TenantTokenBucket purse;
  purse.SetPart(limit, 1, kStart);
  std::set<uint64_t> urgent;
  size_t paidUrgent = 0;
  size_t paidRest = 0;
  uint64_t id = 0;
  for (int ms = 1000; ms < 21000; ms += 50) {
    TimePoint now = kStart + Millis(ms);
    bool first = ms % 500 == 0;
    for (int i = 0; i < (first ? 2 : 1); ++i) {
      QueuedTokenRequest want;
      want.mId = ++id;
      want.mTokens = 1500;
      want.mReserve = ReserveFor(i == 0 ? 2 : 0, 2);
      want.mUntil = now + Millis(50);
      purse.Wait(want, now);
      if (i > 0) {
        urgent.insert(id);
      }
    }
    for (const TokenPaid& paid : purse.Step(now).mPaid) {
      (urgent.count(paid.mId) ? paidUrgent : paidRest) += 1;
    }
  }
  EXPECT_EQ(40u, paidUrgent);
  EXPECT_GT(paidRest, 60u);
}

// Guards against refunds that let more run than the limit: what is given back
// late counts only as far as the bucket didn't spill meanwhile.
TEST(TenantTokenBucket, LateRefundNeverExceedsTheBurst)
{
  TenantLimit limit = Limit(10000, 10000);
  TenantTokenBucket purse;
  purse.SetPart(limit, 1, kStart);
  TimePoint now = kStart + Seconds(5);
  QueuedTokenRequest want;
  want.mId = 1;
  want.mTokens = 4000;
  want.mUntil = now;
  purse.Wait(want, now);
  ASSERT_EQ(1u, purse.Step(now).mPaid.size());
  purse.GiveBack(4000, now, now + Seconds(10));
  EXPECT_LE(purse.Level(now + Seconds(10)), SplitBurst(limit) + 1);
}

// Guards against callers who come back together into an overload that goes on:
// the more are refused, the later they are told to return.
TEST(TenantTokenBucket, RetryTimesOfRefusedRequestsIncrease)
{
  TenantLimit limit = Limit(10000, 10000);
  TenantTokenBucket purse;
  purse.SetPart(limit, 1, kStart);
  std::vector<Millis> told;
  for (uint64_t id = 1; id <= 60; ++id) {
    TimePoint now = kStart + Millis(20 * id);
    QueuedTokenRequest want;
    want.mId = id;
    want.mTokens = 1500;
    want.mUntil = now;
    purse.Wait(want, now);
    for (const TokenRefused& refused : purse.Step(now).mRefused) {
      told.push_back(refused.mAfter);
    }
  }
  ASSERT_GT(told.size(), 10u);
  EXPECT_GT(told.back(), told.front() + Seconds(1));
}

} // namespace caraway
