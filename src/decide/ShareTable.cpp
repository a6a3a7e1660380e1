#include "decide/ShareTable.h"

#include <algorithm>

namespace caraway {

int
SharePartnerOf(int aSlot)
{
  return (aSlot + kShareSlots / kShareHalves) % kShareSlots;
}

std::array<int, kShareHalves>
ShareSlotsOf(const std::string& aTenant)
{
  // FNV-1a: the same on every build, unlike std::hash.
  uint64_t hash = 14695981039346656037ull;
  for (char c : aTenant) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  }
  int slot = static_cast<int>((hash >> 32) % kShareSlots);
  return { slot, SharePartnerOf(slot) };
}

int
ShareTableHeldBy(const ShareTable& aTable, const std::string& aMember)
{
  return static_cast<int>(std::count_if(
    aTable.mSlots.begin(), aTable.mSlots.end(), [&](const ShareSlot& aSlot) {
      return aSlot.mHolder == aMember;
    }));
}

std::string
ShareTableFewest(const ShareTable& aTable, const std::string& aSelf, int aSlot)
{
  const std::string& partner = aTable.mSlots[SharePartnerOf(aSlot)].mHolder;
  std::string best;
  int least = 0;
  for (const auto& member : aTable.mMembers) {
    if (member.first == aSelf || !member.second.mSuspectedBy.empty()) {
      continue;
    }
    int held = ShareTableHeldBy(aTable, member.first) +
               (member.first == partner ? kShareSlots : 0);
    if (best.empty() || held < least) {
      best = member.first;
      least = held;
    }
  }
  return best;
}

bool
ShareTableHoldsPartner(const ShareTable& aTable,
                       const std::string& aMember,
                       int aSlot)
{
  return aTable.mSlots[SharePartnerOf(aSlot)].mHolder == aMember;
}

int
ShareTableEvenShare(const ShareTable& aTable)
{
  int members = std::max<int>(1, static_cast<int>(aTable.mMembers.size()));
  return (kShareSlots + members - 1) / members;
}

void
ShareTableRemove(ShareTable& aTable, const std::string& aMember)
{
  aTable.mMembers.erase(aMember);
  for (ShareSlot& slot : aTable.mSlots) {
    if (slot.mHolder == aMember) {
      // What it had left may have been spent: the next holder starts empty.
      slot = ShareSlot();
    }
  }
}

bool
ShareTableSame(const ShareTable& aLeft, const ShareTable& aRight)
{
  if (aLeft.mMembers.size() != aRight.mMembers.size()) {
    return false;
  }
  for (const auto& member : aLeft.mMembers) {
    auto other = aRight.mMembers.find(member.first);
    if (other == aRight.mMembers.end() ||
        other->second.mSuspectedBy != member.second.mSuspectedBy) {
      return false;
    }
  }
  for (int i = 0; i < kShareSlots; ++i) {
    if (aLeft.mSlots[i].mHolder != aRight.mSlots[i].mHolder) {
      return false;
    }
  }
  return true;
}

} // namespace caraway
