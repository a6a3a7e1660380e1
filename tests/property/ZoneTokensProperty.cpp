// A tenant's limit over instances that join, leave, are cut off and lend to
// each other: never exceeded, and fully usable wherever the demand is.

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

// ---- Membership

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
  int mPartition = 0; // nodes of different partitions can't reach each other
  int mRevision = 0;
  bool mRecordedCounted = false;
  TimePoint mListedAt{};
  bool mListDue = true;
  TimePoint mTryNext{};
  std::map<std::string, int> mSeen; // revisions, as listed
};

// A zone of instances, its store, and injected faults.
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

  // Returns the largest sum of parts that may be spent at one time.
  double Run(Millis aTime)
  {
    double most = 0;
    for (TimePoint end = mNow + aTime; mNow < end; mNow += kStep) {
      InjectFault();
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

  // Ends all faults; dead instances stay dead.
  void EndFaults()
  {
    mFaultsStopped = true;
    for (auto& node : mNodes) {
      node->mPartition = 0;
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
    bool mMark = false; // false = remove
  };

  bool Chance(unsigned aOneIn) { return mRandom() % aOneIn == 0; }

  void Start(const std::string& aName)
  {
    mNodes.push_back(std::make_unique<Node>(aName));
  }

  void InjectFault()
  {
    if (mFaultsStopped) {
      return;
    }
    Node& any = *mNodes[mRandom() % mNodes.size()];
    if (Chance(100)) {
      any.mAlive = false; // killed
    }
    if (!any.mAlive && Chance(40)) { // restarted without state
      std::string name = any.mName;
      any = Node(name);
    }
    if (Chance(200)) {
      any.mPartition = static_cast<int>(mRandom() % 2);
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

  // The node's peers are notified once the store has removed its entry.
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
    for (auto& peer : mNodes) {
      if (peer->mAlive && peer->mPartition == aNode.mPartition) {
        peer->mZone.OnLeft(aNode.mName);
      }
    }
  }

  static bool Hears(const Node& aOne, const Node& aOther)
  {
    return aOne.mAlive && aOther.mAlive && &aOne != &aOther &&
           aOne.mPartition == aOther.mPartition;
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
      SendHeartbeat(aNode);
    }
    for (const std::string& name : aNode.mZone.Unconfirmed()) {
      for (auto& peer : mNodes) {
        if (peer->mName == name && Hears(aNode, *peer)) {
          peer->mZone.OnNewcomer(aNode.mName, mNow);
          aNode.mZone.OnConfirmed(name);
        }
      }
    }
  }

  void SendHeartbeat(Node& aNode)
  {
    for (auto& peer : mNodes) {
      if (Hears(*peer, aNode) && !Chance(10)) {
        peer->mZone.OnHeartbeat(
          aNode.mName, aNode.mZone.OwnHeartbeat(mNow), mNow);
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
      aNode.mListDue = true;
      zone.OnJoined(counted, mNow);
    }
    Millis wait = zone.NeedsStore(mNow) ? Seconds(1) : Seconds(10);
    if (aNode.mListDue || mNow - aNode.mListedAt >= wait) {
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
      RemoveLost(aNode);
    }
  }

  // Marks and removes entries. Some calls are carried out late, as if their
  // answers had been lost.
  void RemoveLost(Node& aNode)
  {
    const ZoneMembers& zone = aNode.mZone;
    for (const std::string& peer : zone.All()) {
      bool mark = zone.MayMark(peer, mNow);
      if (mark || zone.MayRemove(peer, mNow)) {
        Millis late = Chance(3) ? Millis(mRandom() % 3000) : Millis(0);
        mLate.push_back({ mNow + late, peer, aNode.mSeen[peer], mark });
        aNode.mListDue = true;
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
    aNode.mListedAt = mNow;
    aNode.mListDue = false;
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

// ---- Tokens

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

// Instances with a part each, and loans between them that are delayed or lost.
class TokenModel
{
public:
  TokenModel(unsigned aSeed, size_t aInstances, const TenantLimit& aLimit)
    : mRandom(aSeed)
    , mLimit(aLimit)
    , mBuckets(aInstances)
  {
    for (size_t i = 0; i < aInstances; ++i) {
      InitBucket(i);
    }
  }

  // aWeights: each instance's share of the demand.
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
        QueuedTokenRequest request;
        request.mId = ++mNextId;
        request.mTokens = size(mRandom) * aMeanTokens;
        request.mUntil = mNow + Millis(50);
        due -= request.mTokens;
        mAsked += request.mTokens;
        mTokens[request.mId] = request.mTokens;
        mBuckets[where(mRandom)].Wait(request, mNow);
      }
      DeliverLoans();
      for (size_t i = 0; i < mBuckets.size(); ++i) {
        Step(i);
      }
    }
  }

  void Kill(size_t aInstance)
  {
    mBuckets[aInstance] = TenantTokenBucket();
    InitBucket(aInstance);
  }

  double Granted() const { return mGranted; }
  double Asked() const { return mAsked; }
  void Reset() { mGranted = mAsked = 0; }

  // Maximum excess of tokens over rate and burst in any window.
  double Excess() const
  {
    double excess = -mLimit.mBurst;
    double lowest = 0;
    double sum = 0;
    // Largest sum of a window less rate x time, by a running minimum.
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

  void InitBucket(size_t aInstance)
  {
    double part = 1.0 / static_cast<double>(mBuckets.size());
    mBuckets[aInstance].SetPart(mLimit, part, mNow);
    std::vector<std::string> others;
    for (size_t i = 1; i < mBuckets.size(); ++i) {
      others.push_back(std::to_string((aInstance + i) % mBuckets.size()));
    }
    mBuckets[aInstance].SetHolders(others);
  }

  void Step(size_t aInstance)
  {
    TenantBucketStep step = mBuckets[aInstance].Step(mNow);
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
      mBuckets[holder].Lend(step.mCall->mTokens, step.mCall->mReserve, mNow);
    loan.mLost = chance(mRandom) < mLost;
    Millis slow = chance(mRandom) < mLost ? Millis(80) : Millis(3);
    loan.mAt = mNow + (loan.mLost ? kLoanLife : slow);
    mLoans.push_back(loan);
  }

  void DeliverLoans()
  {
    std::vector<Loan> later;
    for (const Loan& loan : mLoans) {
      if (mNow < loan.mAt) {
        later.push_back(loan);
      } else if (loan.mLost) {
        mBuckets[loan.mTo].OnLoanFailed(loan.mHolder, mNow);
      } else {
        mBuckets[loan.mTo].OnLoan(loan.mHolder, loan.mLoan, loan.mAsked, mNow);
      }
    }
    mLoans = std::move(later);
  }

  std::mt19937 mRandom;
  TenantLimit mLimit;
  TimePoint mNow = kStart;
  std::vector<TenantTokenBucket> mBuckets;
  std::vector<Loan> mLoans;
  std::map<uint64_t, double> mTokens;
  std::vector<Grant> mGrants;
  uint64_t mNextId = 0;
  double mGranted = 0;
  double mAsked = 0;
};

} // namespace

// Guards against instances that count different peers and together spend more
// than the zone's part, through kills, partitions, planned shutdowns and late
// calls.
TEST(ZoneMembersRandom, SpentPartsNeverExceedTheLimit)
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    ZoneModel model(seed);
    ASSERT_LE(model.Run(Seconds(60)), 1 + 1e-9) << "seed " << seed;
  }
}

// Guards against parts that stay unused: once all partitions have healed and
// the dead instances are removed, the whole limit can be spent.
TEST(ZoneMembersRandom, LimitIsFullySpendableAfterFaultsEnd)
{
  for (unsigned seed = 1; seed <= 100; ++seed) {
    ZoneModel model(seed);
    model.Run(Seconds(20));
    model.EndFaults();
    model.Run(Seconds(90));
    if (model.Alive() > 0) {
      EXPECT_GE(model.Sum(), 1 - 1e-9) << "seed " << seed;
    }
  }
}

// Guards against tokens that are spent twice while they move between instances.
TEST(TenantTokenBucketRandom, NeverAboveTheLimit)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    TenantLimit limit = Limit(20000, seed % 2 ? 20000 : 45000);
    TokenModel model(seed, 2 + seed % 7, limit);
    model.mLost = 0.05 * (seed % 4);
    for (int phase = 0; phase < 6; ++phase) {
      std::vector<double> weights;
      for (size_t i = 0; i < 2 + seed % 7; ++i) {
        weights.push_back(1 + static_cast<double>(random() % 5) * 4);
      }
      double asked = 20000 * (0.3 + random() % 4);
      model.Run(Millis(700), asked, weights, 900);
      model.Kill(random() % (2 + seed % 7));
    }
    ASSERT_LE(model.Excess(), 1) << "seed " << seed;
  }
}

// Guards against tokens that stay unused at instances without demand: a
// tenant's callers keep connections to a few of seven instances and ask for up
// to six times the limit. With all instances connected and past the first two
// seconds, 0.95 of what is asked for and allowed is granted.
TEST(TenantTokenBucket, LimitIsReachedWhereverTheDemandIs)
{
  TenantLimit limit = Limit(30000, 45000);
  std::vector<std::vector<double>> shapes = { { 1, 1, 1, 1, 1, 1, 1 },
                                              { 1, 0, 0, 0, 0, 0, 0 },
                                              { 4, 2, 1, 0, 0, 0, 0 } };
  for (const auto& shape : shapes) {
    for (double load : { 0.8, 1.0, 1.5, 6.0 }) {
      TokenModel model(7, 7, limit);
      model.Run(Seconds(2), limit.mRate * load, shape, 900);
      model.Reset();
      model.Run(Seconds(5), limit.mRate * load, shape, 900);
      double may = std::min(model.Asked(), limit.mRate * 5);
      EXPECT_GE(model.Granted() / may, 0.95) << "load " << load;
    }
  }
}

// Guards against refusing a large request that no single part can pay.
TEST(TenantTokenBucket, RequestLargerThanAPartIsPaid)
{
  TenantLimit limit = Limit(20000, 20000);
  TokenModel model(3, 7, limit);
  model.Run(Seconds(2), 1, { 1, 0, 0, 0, 0, 0, 0 }, 10);
  model.Reset();
  model.Run(Millis(300), 30000, { 1, 0, 0, 0, 0, 0, 0 }, 6000);
  EXPECT_GE(model.Granted(), 4000);
}

// Guards against urgent requests that find no tokens because the tenant asks
// for three times its limit, mostly on its least urgent routes.
TEST(TenantTokenBucket, UrgentRoutesGetTokensInAnOverload)
{
  TenantLimit limit = Limit(10000, 10000);
  TenantTokenBucket bucket;
  bucket.SetPart(limit, 1, kStart);
  std::set<uint64_t> urgent;
  size_t paidUrgent = 0;
  size_t paidRest = 0;
  uint64_t id = 0;
  for (int ms = 1000; ms < 21000; ms += 50) {
    TimePoint now = kStart + Millis(ms);
    bool first = ms % 500 == 0;
    for (int i = 0; i < (first ? 2 : 1); ++i) {
      QueuedTokenRequest request;
      request.mId = ++id;
      request.mTokens = 1500;
      request.mReserve = ReserveFor(i == 0 ? 2 : 0, 2);
      request.mUntil = now + Millis(50);
      bucket.Wait(request, now);
      if (i > 0) {
        urgent.insert(id);
      }
    }
    for (const TokenPaid& paid : bucket.Step(now).mPaid) {
      (urgent.count(paid.mId) ? paidUrgent : paidRest) += 1;
    }
  }
  EXPECT_EQ(40u, paidUrgent);
  EXPECT_GT(paidRest, 60u);
}

// Guards against refunds that exceed the limit: a late refund counts only as
// far as the bucket didn't overflow meanwhile.
TEST(TenantTokenBucket, LateRefundNeverExceedsTheBurst)
{
  TenantLimit limit = Limit(10000, 10000);
  TenantTokenBucket bucket;
  bucket.SetPart(limit, 1, kStart);
  TimePoint now = kStart + Seconds(5);
  QueuedTokenRequest request;
  request.mId = 1;
  request.mTokens = 4000;
  request.mUntil = now;
  bucket.Wait(request, now);
  ASSERT_EQ(1u, bucket.Step(now).mPaid.size());
  bucket.Refund(4000, now, now + Seconds(10));
  EXPECT_LE(bucket.Level(now + Seconds(10)), SplitBurst(limit) + 1);
}

// Guards against callers that retry all at once during an overload: each
// further refusal gets a later retry-after time.
TEST(TenantTokenBucket, RetryTimesOfRefusedRequestsIncrease)
{
  TenantLimit limit = Limit(10000, 10000);
  TenantTokenBucket bucket;
  bucket.SetPart(limit, 1, kStart);
  std::vector<Millis> retryTimes;
  for (uint64_t id = 1; id <= 60; ++id) {
    TimePoint now = kStart + Millis(20 * id);
    QueuedTokenRequest request;
    request.mId = id;
    request.mTokens = 1500;
    request.mUntil = now;
    bucket.Wait(request, now);
    for (const TokenRefused& refused : bucket.Step(now).mRefused) {
      retryTimes.push_back(refused.mRetryAfter);
    }
  }
  ASSERT_GT(retryTimes.size(), 10u);
  EXPECT_GT(retryTimes.back(), retryTimes.front() + Seconds(1));
}

} // namespace caraway
