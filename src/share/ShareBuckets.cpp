#include "share/ShareBuckets.h"

#include <algorithm>

namespace caraway {

double
ShareSlotBurst(const Tenant& aTenant, const ShareSettings& aSettings)
{
  double lifetime =
    std::chrono::duration<double>(aSettings.mGrantLifetime).count();
  double burst = aTenant.mBurst - aTenant.mRate * lifetime;
  return std::max(0.0, burst) / (aSettings.mZones * kShareHalves);
}

ShareBuckets::ShareBuckets(ShareSettings aSettings, std::string aSelf)
  : mSettings(std::move(aSettings))
  , mSelf(std::move(aSelf))
{
}

TokenBucket*
ShareBuckets::Find(const std::string& aTenant, int aSlot)
{
  auto bucket = mBuckets.find({ aTenant, aSlot });
  return bucket == mBuckets.end() ? nullptr : &bucket->second;
}

TokenBucket
ShareBuckets::MakeBucket(const Tenant& aTenant,
                         int aSlot,
                         const ShareSlot& aSlotEntry,
                         TimePoint aNow)
{
  double rate = aTenant.mRate / (mSettings.mZones * kShareHalves);
  double burst = ShareSlotBurst(aTenant, mSettings);
  // The bucket is kept only if the slot was held without interruption. One that
  // was handed over and came back unseen has the tokens its last holder left.
  auto acquired = mSlots.find(aSlot);
  bool held =
    acquired != mSlots.end() && acquired->second == aSlotEntry.mAcquiredSerial;
  TokenBucket* known = Find(aTenant.mName, aSlot);
  if (held && known) {
    known->Resize(rate, burst, aNow);
    return *known;
  }
  TokenBucket bucket(rate, burst, aNow);
  auto level = aSlotEntry.mLevels.find(aTenant.mName);
  if (aSlotEntry.mNeverHeld) {
    bucket.Fill(burst, aNow);
  } else if (!held && level != aSlotEntry.mLevels.end()) {
    bucket.Fill(level->second, aNow);
  }
  return bucket;
}

void
ShareBuckets::Sync(const ShareTable& aTable,
                   const ConfigSnapshot& aConfig,
                   TimePoint aNow)
{
  if (aTable.mChangedSerial == mChangedSerial &&
      aConfig.mRevision == mRevision) {
    return;
  }
  std::map<int, int64_t> slots;
  for (int i = 0; i < kShareSlots; ++i) {
    if (aTable.mSlots[i].mHolder == mSelf) {
      slots[i] = aTable.mSlots[i].mAcquiredSerial;
    }
  }
  std::map<Key, TokenBucket> next;
  for (const auto& entry : aConfig.mTenants) {
    for (int slot : ShareSlotsOf(entry.first)) {
      if (slots.count(slot)) {
        next.emplace(Key(entry.first, slot),
                     MakeBucket(entry.second, slot, aTable.mSlots[slot], aNow));
      }
    }
  }
  mBuckets = std::move(next);
  mSlots = std::move(slots);
  mChangedSerial = aTable.mChangedSerial;
  mRevision = aConfig.mRevision;
}

ShareBuckets::Levels
ShareBuckets::LevelsOf(const std::set<int>& aSlots, TimePoint aNow) const
{
  Levels levels;
  for (int slot : aSlots) {
    levels[slot];
  }
  for (const auto& bucket : mBuckets) {
    int slot = bucket.first.second;
    if (aSlots.count(slot)) {
      levels[slot][bucket.first.first] =
        std::max(0.0, bucket.second.Level(aNow));
    }
  }
  return levels;
}

} // namespace caraway
