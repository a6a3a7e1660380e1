#include "decide/ShareLease.h"

#include <algorithm>

namespace caraway {

namespace {

void
JoinTable(const ShareLease& aLease, ShareTable& aTable)
{
  // A member with the same address has ended, since two processes can't listen
  // at one address. So its slots are free at once.
  std::vector<std::string> predecessors;
  for (const auto& member : aTable.mMembers) {
    if (member.first != aLease.mSelf &&
        member.second.mAddress == aLease.mAddress) {
      predecessors.push_back(member.first);
    }
  }
  for (const std::string& member : predecessors) {
    ShareTableRemove(aTable, member);
  }
  if (!aTable.mMembers.count(aLease.mSelf)) {
    ShareMember self;
    self.mAddress = aLease.mAddress;
    self.mJoinedSerial = aTable.mSerial;
    aTable.mMembers[aLease.mSelf] = self;
  }
}

void
RenewMember(ShareTable& aTable, const std::string& aMember, int64_t aKnows)
{
  auto found = aTable.mMembers.find(aMember);
  if (found != aTable.mMembers.end()) {
    found->second.mRenewedSerial = aTable.mSerial;
    found->second.mKnownSerial = std::max(found->second.mKnownSerial, aKnows);
    found->second.mSuspectedBy.clear();
  }
}

bool
IsSilent(const ShareLease& aLease, const std::string& aMember, TimePoint aNow)
{
  auto seen = aLease.mLastRenewals.find(aMember);
  if (seen == aLease.mLastRenewals.end()) {
    return false;
  }
  const ShareLeaseParameters& parameters = aLease.mParameters;
  Millis silenceLimit = parameters.mLease;
  auto self = aLease.mTable.mMembers.find(aLease.mSelf);
  auto member = aLease.mTable.mMembers.find(aMember);
  bool knowsSelf = self != aLease.mTable.mMembers.end() &&
                   member != aLease.mTable.mMembers.end() &&
                   member->second.mKnownSerial >= self->second.mJoinedSerial;
  auto unlisted = aLease.mUnlistedSince.find(aMember);
  bool notListed =
    unlisted != aLease.mUnlistedSince.end() &&
    aNow - unlisted->second > parameters.mLease + parameters.mMargin;
  if (!knowsSelf && !notListed) {
    // It may be spending on promises for which it didn't ask this instance.
    silenceLimit = parameters.mIsolationLimit + parameters.mMargin;
  }
  return aNow - seen->second.mSeenAt > silenceLimit;
}

// A suspicion in the table holds for all members: the first writer after it has
// stood long enough removes the suspect. If only the author of the suspicion
// could, or each writer restarted its time, a dead member's slots would not
// come free while the author renews through another or several members take
// turns in writing.
void
SuspectOrRemove(const ShareLease& aLease, ShareTable& aTable, TimePoint aNow)
{
  std::vector<std::string> removed;
  for (auto& entry : aTable.mMembers) {
    ShareMember& member = entry.second;
    if (entry.first == aLease.mSelf ||
        member.mRenewedSerial == aTable.mSerial ||
        !IsSilent(aLease, entry.first, aNow)) {
      continue;
    }
    auto since = aLease.mSuspectedSince.find(entry.first);
    if (member.mSuspectedBy.empty()) {
      member.mSuspectedBy = aLease.mSelf;
    } else if (since != aLease.mSuspectedSince.end() &&
               aNow - since->second >
                 aLease.mParameters.mLease + aLease.mParameters.mMargin) {
      removed.push_back(entry.first);
    }
  }
  for (const std::string& member : removed) {
    ShareTableRemove(aTable, member);
  }
}

// Assigns free slots to all members, not only to the writer: usually one member
// writes for all, and the other slots would stay free for ever. A member spends
// its new slots from its next renewal on.
void
AssignFreeSlots(ShareTable& aTable)
{
  for (int i = 0; i < kShareSlots; ++i) {
    ShareSlot& slot = aTable.mSlots[i];
    auto target = aTable.mMembers.find(ShareTableTarget(aTable, i));
    bool assignable =
      target != aTable.mMembers.end() && target->second.mSuspectedBy.empty();
    if (slot.mHolder.empty() && assignable) {
      slot.mHolder = target->first;
      slot.mAcquiredSerial = aTable.mSerial;
    }
  }
}

} // namespace

bool
ShareLeaseMaySpend(const ShareLease& aLease, int aSlot, TimePoint aNow)
{
  if (aLease.mVersion == 0 || aLease.mClosedSlots.count(aSlot) ||
      aLease.mTable.mSlots[aSlot].mHolder != aLease.mSelf) {
    return false;
  }
  const ShareLeaseParameters& parameters = aLease.mParameters;
  if (aNow < aLease.mRenewedAt + parameters.mLease) {
    return true;
  }
  return aNow < aLease.mPromisedAt + parameters.mLease &&
         aNow < aLease.mRenewedAt + parameters.mIsolationLimit;
}

void
ShareLeaseUpdate(ShareLease& aLease,
                 const ShareTable& aTable,
                 int64_t aVersion,
                 TimePoint aNow)
{
  if (aVersion <= aLease.mVersion) {
    return;
  }
  aLease.mTable = aTable;
  aLease.mVersion = aVersion;
  for (auto seen = aLease.mLastRenewals.begin();
       seen != aLease.mLastRenewals.end();) {
    bool member = aTable.mMembers.count(seen->first) != 0;
    seen = member ? std::next(seen) : aLease.mLastRenewals.erase(seen);
  }
  for (const auto& member : aTable.mMembers) {
    auto seen = aLease.mLastRenewals.find(member.first);
    bool renewed = seen == aLease.mLastRenewals.end() ||
                   seen->second.mSerial != member.second.mRenewedSerial;
    if (renewed) {
      aLease.mLastRenewals[member.first] = { member.second.mRenewedSerial,
                                             aNow };
    }
    if (renewed || member.second.mSuspectedBy.empty()) {
      aLease.mSuspectedSince.erase(member.first);
    }
    if (!member.second.mSuspectedBy.empty()) {
      aLease.mSuspectedSince.emplace(member.first, aNow);
    }
  }
  aLease.mClosedSlots.clear(); // see ShareLeaseClose
}

ShareTable
ShareLeasePropose(const ShareLease& aLease,
                  const std::map<std::string, int64_t>& aOthers,
                  TimePoint aNow)
{
  ShareTable table = aLease.mTable;
  if (aLease.mVersion == 0) {
    // Stored only if there is no table yet: nobody has ever held these slots.
    for (ShareSlot& slot : table.mSlots) {
      slot.mNeverHeld = true;
    }
  }
  ++table.mSerial;
  JoinTable(aLease, table);
  RenewMember(table, aLease.mSelf, aLease.mTable.mSerial);
  for (const auto& member : aOthers) {
    RenewMember(table, member.first, member.second);
  }
  SuspectOrRemove(aLease, table, aNow);
  AssignFreeSlots(table);
  if (!ShareTableSame(aLease.mTable, table)) {
    table.mChangedSerial = table.mSerial;
  }
  return table;
}

void
ShareLeaseRenewed(ShareLease& aLease,
                  const ShareTable& aTable,
                  int64_t aVersion,
                  TimePoint aBegun,
                  TimePoint aNow)
{
  ShareLeaseUpdate(aLease, aTable, aVersion, aNow);
  auto self = aTable.mMembers.find(aLease.mSelf);
  if (aVersion < aLease.mVersion || self == aTable.mMembers.end() ||
      self->second.mRenewedSerial != aTable.mSerial) {
    return;
  }
  aLease.mRenewedAt = std::max(aLease.mRenewedAt, aBegun);
}

void
ShareLeaseRenewedUnchanged(ShareLease& aLease,
                           int64_t aSerial,
                           int64_t aVersion,
                           TimePoint aBegun,
                           TimePoint aNow)
{
  if (aVersion < aLease.mVersion) {
    return;
  }
  aLease.mTable.mSerial = aSerial;
  aLease.mVersion = aVersion;
  aLease.mRenewedAt = std::max(aLease.mRenewedAt, aBegun);
  for (auto& seen : aLease.mLastRenewals) {
    // The renewer watches the others and would have sent the table if one were
    // silent. So this instance, when it writes next, doesn't suspect them.
    seen.second.mSeenAt = aNow;
  }
}

void
ShareLeaseOnInstanceList(ShareLease& aLease,
                         const std::set<std::string>& aAddresses,
                         TimePoint aNow)
{
  std::map<std::string, TimePoint> unlisted;
  for (const auto& member : aLease.mTable.mMembers) {
    if (aAddresses.count(member.second.mAddress) == 0) {
      auto known = aLease.mUnlistedSince.find(member.first);
      unlisted[member.first] =
        known == aLease.mUnlistedSince.end() ? aNow : known->second;
    }
  }
  aLease.mUnlistedSince = std::move(unlisted);
}

std::vector<std::string>
ShareLeaseOtherMembers(const ShareLease& aLease)
{
  std::vector<std::string> members;
  for (const auto& member : aLease.mTable.mMembers) {
    if (member.first != aLease.mSelf) {
      members.push_back(member.first);
    }
  }
  return members;
}

void
ShareLeaseOnAllPromised(ShareLease& aLease, TimePoint aBegun)
{
  aLease.mPromisedAt = std::max(aLease.mPromisedAt, aBegun);
}

bool
ShareLeaseCanPromise(const ShareLease& aLease, const std::string& aMember)
{
  auto member = aLease.mTable.mMembers.find(aMember);
  return member != aLease.mTable.mMembers.end() &&
         member->second.mSuspectedBy.empty();
}

std::set<int>
ShareLeaseSlotsToHandOver(const ShareLease& aLease, bool aLeaving)
{
  std::set<int> slots;
  const ShareTable& table = aLease.mTable;
  for (int i = 0; i < kShareSlots; ++i) {
    if (table.mSlots[i].mHolder != aLease.mSelf) {
      continue;
    }
    auto target = table.mMembers.find(ShareTableTarget(table, i));
    bool elsewhere = target != table.mMembers.end() &&
                     target->first != aLease.mSelf &&
                     target->second.mSuspectedBy.empty();
    if (aLeaving || elsewhere) {
      slots.insert(i);
    }
  }
  return slots;
}

std::set<int>
ShareLeaseClose(ShareLease& aLease, const std::set<int>& aSlots)
{
  std::set<int> newlyClosed;
  for (int slot : aSlots) {
    if (aLease.mClosedSlots.insert(slot).second) {
      newlyClosed.insert(slot);
    }
  }
  return newlyClosed;
}

void
ShareLeaseReopen(ShareLease& aLease, const std::set<int>& aNewlyClosed)
{
  for (int slot : aNewlyClosed) {
    aLease.mClosedSlots.erase(slot);
  }
}

ShareTable
ShareLeaseHandOver(const ShareLease& aLease,
                   const std::map<int, std::map<std::string, double>>& aLevels,
                   bool aLeaving)
{
  ShareTable table = aLease.mTable;
  ++table.mSerial;
  if (aLeaving) {
    // No longer a target, so that its slots are assigned to others.
    table.mMembers.erase(aLease.mSelf);
  }
  for (const auto& slot : aLevels) {
    ShareSlot& handedOver = table.mSlots[slot.first];
    if (handedOver.mHolder == aLease.mSelf) {
      handedOver.mHolder = ShareTableTarget(table, slot.first);
      handedOver.mAcquiredSerial = table.mSerial;
      handedOver.mLevels = slot.second;
      handedOver.mNeverHeld = false;
    }
  }
  table.mChangedSerial = table.mSerial;
  return table;
}

} // namespace caraway
