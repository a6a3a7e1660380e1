// ShareModel.h: model of a zone's slot holders under random faults.
#ifndef caraway_tests_ShareModel_h
#define caraway_tests_ShareModel_h

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "decide/ShareLease.h"
#include "share/ShareBuckets.h"
#include "support/RandomChoices.h"

namespace caraway {

// An instance with its lease, buckets, clock and faults.
struct ShareModelNode
{
  ShareLease mLease;
  double mClockRate = 1; // clock speed, 1 = exact
  bool mDead = false;
  int mFrozenSteps = 0; // steps for which it stays frozen
  bool mCutOff = false; // can't reach the platform
  ShareBuckets mBuckets;
  std::set<int> mNewlyClosed; // by its last hand-over

  explicit ShareModelNode(const std::string& aSelf)
    : mBuckets({}, aSelf)
  {
    mLease.mSelf = aSelf;
  }
  bool Awake() const { return !mDead && mFrozenSteps == 0; }

  TimePoint Now(TimePoint aTrueTime) const
  {
    return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      aTrueTime.time_since_epoch() * mClockRate));
  }
};

struct ShareLateWrite
{
  ShareTable mTable;
  int64_t mExpected;
};

// A zone's table at a platform that loses and delays writes, and the nodes that
// write it.
struct ShareModel
{
  ShareTable mTable;
  int64_t mVersion = 0;
  std::vector<ShareLateWrite> mLateWrites;
  std::vector<ShareModelNode> mNodes;
  ConfigSnapshot mConfig;
  std::map<std::string, double> mSpent; // by tenant

  void Add(const std::string& aAddress, double aRate)
  {
    ShareModelNode node("n" + std::to_string(mNodes.size()));
    node.mClockRate = aRate;
    node.mLease.mAddress = aAddress;
    node.mLease.mParameters.mIsolationLimit = Seconds(20);
    mNodes.push_back(node);
  }

  // With a rate of 0 the tenant can never spend more than its burst.
  void AddTenant(const std::string& aName, double aBurst)
  {
    Tenant& tenant = mConfig.mTenants[aName];
    tenant.mName = aName;
    tenant.mRate = 0;
    tenant.mBurst = aBurst;
  }

  void AddThreeNodes()
  {
    const double rates[] = { 1.0, 1.02, 0.98 };
    for (int i = 0; i < 3; ++i) {
      Add("a" + std::to_string(i), rates[i]);
    }
  }

  ShareModelNode& RandomNode(RandomChoices& aChoices)
  {
    return mNodes[static_cast<size_t>(aChoices.Below(255)) % mNodes.size()];
  }

  // One random event at a node, at the platform or between two nodes.
  void Step(RandomChoices& aChoices, TimePoint& aNow)
  {
    if (aChoices.Below(2) == 0) {
      aNow += Millis(aChoices.Below(40) * 20);
    }
    ShareModelNode& node = RandomNode(aChoices);
    ShareModelNode& other = RandomNode(aChoices);
    for (ShareModelNode& each : mNodes) {
      each.mFrozenSteps = std::max(0, each.mFrozenSteps - 1);
    }
    if (node.mFrozenSteps > 0) {
      return;
    }
    int what = aChoices.Below(26);
    if (what == 24 && aChoices.Below(3) == 0) {
      node.mFrozenSteps = aChoices.Below(120);
    } else if (what == 25) {
      node.mCutOff = !node.mCutOff;
    }
    if (what == 0 && mNodes.size() < 6) {
      Add("a" + std::to_string(mNodes.size()), 1.0);
    } else if (what == 1 && aChoices.Below(4) == 0 && mNodes.size() < 8 &&
               !node.mDead) {
      std::string address = node.mLease.mAddress;
      node.mDead = true;
      Add(address, 1.0);
    } else if (what == 2 && aChoices.Below(8) == 0) {
      node.mDead = true;
    } else if (what == 3 && !mLateWrites.empty()) {
      Apply(mLateWrites.front().mTable, mLateWrites.front().mExpected);
      mLateWrites.erase(mLateWrites.begin());
    } else if (node.mDead) {
      return;
    } else if (what < 12) {
      Renew(node, other, aChoices, aNow);
    } else if (what < 16) {
      Promise(node, aNow);
    } else if (what < 19 && !other.mDead) {
      ShareLeaseUpdate(node.mLease,
                       other.mLease.mTable,
                       other.mLease.mVersion,
                       node.Now(aNow));
    } else {
      HandOver(node, aChoices, aNow);
    }
  }

  bool Apply(const ShareTable& aTable, int64_t aExpected)
  {
    if (aExpected != mVersion) {
      return false;
    }
    mTable = aTable;
    ++mVersion;
    return true;
  }

  // True: in force and known to the writer. False: it may or may not take
  // effect, now or later.
  bool Write(ShareModelNode& aNode,
             const ShareTable& aTable,
             RandomChoices& aChoices,
             TimePoint aNow)
  {
    int64_t expected = aNode.mLease.mVersion;
    if (aNode.mCutOff) {
      return false;
    }
    switch (aChoices.Below(6)) {
      case 0:
        Apply(aTable, expected);
        return false;
      case 1:
        mLateWrites.push_back({ aTable, expected });
        return false;
      case 2:
        return false;
      default:
        if (Apply(aTable, expected)) {
          return true;
        }
        ShareLeaseUpdate(aNode.mLease, mTable, mVersion, aNode.Now(aNow));
        return false;
    }
  }

  // aNode renews itself and aOther in one write; aOther may not get the reply.
  void Renew(ShareModelNode& aNode,
             ShareModelNode& aOther,
             RandomChoices& aChoices,
             TimePoint& aNow)
  {
    TimePoint begun = aNode.Now(aNow);
    TimePoint requestedAt = aOther.Now(aNow);
    std::map<std::string, int64_t> others;
    bool withOther = &aNode != &aOther && aOther.Awake();
    if (withOther) {
      others[aOther.mLease.mSelf] = aOther.mLease.mTable.mSerial;
    }
    aNow += Millis(aChoices.Below(8) * 100);
    ShareTable table = ShareLeasePropose(aNode.mLease, others, begun);
    aNow += Millis(aChoices.Below(8) * 100);
    if (!Write(aNode, table, aChoices, aNow)) {
      return;
    }
    ShareLeaseRenewed(aNode.mLease, table, mVersion, begun, aNode.Now(aNow));
    bool answered = withOther && aChoices.Below(3) != 0;
    if (answered && others.begin()->second >= table.mChangedSerial) {
      ShareLeaseRenewedUnchanged(
        aOther.mLease, table.mSerial, mVersion, requestedAt, aOther.Now(aNow));
    } else if (answered) {
      ShareLeaseRenewed(
        aOther.mLease, table, mVersion, requestedAt, aOther.Now(aNow));
    }
  }

  void Promise(ShareModelNode& aNode, TimePoint aNow)
  {
    TimePoint begun = aNode.Now(aNow);
    for (const std::string& member : ShareLeaseOtherMembers(aNode.mLease)) {
      ShareModelNode& other = mNodes[std::stoul(member.substr(1))];
      if (!other.Awake() ||
          !ShareLeaseCanPromise(other.mLease, aNode.mLease.mSelf)) {
        return;
      }
    }
    ShareLeaseOnAllPromised(aNode.mLease, begun);
  }

  // Closes the slots to hand over and returns the table that does so.
  ShareTable CloseAndHandOver(ShareModelNode& aNode,
                              bool aLeaving,
                              TimePoint aNow)
  {
    TimePoint now = aNode.Now(aNow);
    std::set<int> slots = ShareLeaseSlotsToHandOver(aNode.mLease, aLeaving);
    aNode.mBuckets.Sync(aNode.mLease.mTable, mConfig, now);
    aNode.mNewlyClosed = ShareLeaseClose(aNode.mLease, slots);
    auto levels = aNode.mBuckets.LevelsOf(slots, now);
    return ShareLeaseHandOver(aNode.mLease, levels, aLeaving);
  }

  void HandOver(ShareModelNode& aNode, RandomChoices& aChoices, TimePoint aNow)
  {
    bool leaving = aChoices.Below(8) == 0;
    if (!leaving && ShareLeaseSlotsToHandOver(aNode.mLease, false).empty()) {
      return;
    }
    ShareTable table = CloseAndHandOver(aNode, leaving, aNow);
    if (aNode.mCutOff) {
      ShareLeaseReopen(aNode.mLease, aNode.mNewlyClosed);
    } else if (Write(aNode, table, aChoices, aNow)) {
      ShareLeaseUpdate(aNode.mLease, table, mVersion, aNode.Now(aNow));
    }
  }

  void CheckOneSpender(TimePoint aNow) const
  {
    for (int slot = 0; slot < kShareSlots; ++slot) {
      int spenders = 0;
      for (const ShareModelNode& node : mNodes) {
        bool may =
          !node.mDead && ShareLeaseMaySpend(node.mLease, slot, node.Now(aNow));
        spenders += may ? 1 : 0;
      }
      RC_ASSERT(spenders <= 1);
    }
  }

  // Spends tokens as requests do, at a random node and slot.
  void Spend(RandomChoices& aChoices, TimePoint aNow)
  {
    ShareModelNode& node = RandomNode(aChoices);
    if (!node.Awake()) {
      return;
    }
    TimePoint now = node.Now(aNow);
    int slot = aChoices.Below(kShareSlots);
    if (!ShareLeaseMaySpend(node.mLease, slot, now)) {
      return;
    }
    node.mBuckets.Sync(node.mLease.mTable, mConfig, now);
    for (const auto& tenant : mConfig.mTenants) {
      TokenBucket* bucket = node.mBuckets.Find(tenant.first, slot);
      double cost = 1 + aChoices.Below(4);
      if (bucket && bucket->Take(cost, now)) {
        mSpent[tenant.first] += cost;
      }
    }
  }

  // A renewal without faults, from the newest table.
  void RenewNow(ShareModelNode& aNode, TimePoint aNow)
  {
    TimePoint now = aNode.Now(aNow);
    ShareLeaseUpdate(aNode.mLease, mTable, mVersion, now);
    ShareTable table = ShareLeasePropose(aNode.mLease, {}, now);
    Apply(table, mVersion);
    ShareLeaseRenewed(aNode.mLease, table, mVersion, now, now);
  }

  double LevelOf(ShareModelNode& aNode,
                 const std::string& aTenant,
                 int aSlot,
                 TimePoint aNow)
  {
    TimePoint now = aNode.Now(aNow);
    aNode.mBuckets.Sync(aNode.mLease.mTable, mConfig, now);
    TokenBucket* bucket = aNode.mBuckets.Find(aTenant, aSlot);
    return bucket ? bucket->Level(now) : -1;
  }

  // Lets all nodes renew and hand over for a while without faults. False when
  // no node is alive.
  bool SettleWithoutFaults(TimePoint& aNow)
  {
    for (int round = 0; round < 60; ++round) {
      aNow += Seconds(1);
      RenewAllNow(aNow);
      for (ShareModelNode& node : mNodes) {
        if (!node.mDead &&
            !ShareLeaseSlotsToHandOver(node.mLease, false).empty()) {
          Apply(CloseAndHandOver(node, false, aNow), node.mLease.mVersion);
          ShareLeaseUpdate(node.mLease, mTable, mVersion, node.Now(aNow));
        }
      }
    }
    return std::any_of(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
      return !aNode.mDead;
    });
  }

  // As in normal operation: the first member renews all others by one write;
  // nodes that aren't members yet join by their own writes.
  void RenewAllNow(TimePoint aNow)
  {
    ShareModelNode* renewer = nullptr;
    std::map<std::string, int64_t> others;
    for (ShareModelNode& node : mNodes) {
      if (node.mDead) {
        continue;
      }
      if (mTable.mMembers.count(node.mLease.mSelf) == 0) {
        RenewNow(node, aNow);
      } else if (!renewer) {
        renewer = &node;
      } else {
        others[node.mLease.mSelf] = node.mLease.mTable.mSerial;
      }
    }
    if (!renewer) {
      return;
    }
    TimePoint now = renewer->Now(aNow);
    ShareLeaseUpdate(renewer->mLease, mTable, mVersion, now);
    ShareTable table = ShareLeasePropose(renewer->mLease, others, now);
    Apply(table, mVersion);
    ShareLeaseRenewed(renewer->mLease, table, mVersion, now, now);
    for (ShareModelNode& node : mNodes) {
      auto requested = others.find(node.mLease.mSelf);
      if (requested == others.end()) {
        continue;
      }
      TimePoint at = node.Now(aNow);
      if (requested->second < table.mChangedSerial) {
        ShareLeaseRenewed(node.mLease, table, mVersion, at, at);
      } else {
        ShareLeaseRenewedUnchanged(
          node.mLease, table.mSerial, mVersion, at, at);
      }
    }
  }

  int Spendable(TimePoint aNow) const
  {
    int slots = 0;
    for (int slot = 0; slot < kShareSlots; ++slot) {
      for (const ShareModelNode& node : mNodes) {
        slots +=
          !node.mDead && ShareLeaseMaySpend(node.mLease, slot, node.Now(aNow));
      }
    }
    return slots;
  }
};

} // namespace caraway

#endif
