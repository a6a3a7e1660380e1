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

std::string
ShareTableTarget(const ShareTable& aTable, int aSlot)
{
  constexpr int kHalf = kShareSlots / kShareHalves;
  int members = static_cast<int>(aTable.mMembers.size());
  if (members == 0) {
    return "";
  }
  // If the number of members divides the half, a slot and its partner would
  // have the same target, so the second half is shifted by one.
  bool divides = kHalf % members == 0;
  int index = divides ? (aSlot % kHalf + aSlot / kHalf) : aSlot;
  return std::next(aTable.mMembers.begin(), index % members)->first;
}

void
ShareTableRemove(ShareTable& aTable, const std::string& aMember)
{
  aTable.mMembers.erase(aMember);
  for (ShareSlot& slot : aTable.mSlots) {
    if (slot.mHolder == aMember) {
      // Its tokens may have been spent, so the next holder starts empty.
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
