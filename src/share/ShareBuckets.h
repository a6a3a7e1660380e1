// ShareBuckets.h: the token buckets of the slots an instance holds.
#ifndef caraway_share_ShareBuckets_h
#define caraway_share_ShareBuckets_h

#include <map>
#include <set>
#include <string>
#include <utility>

#include "caraway/ConfigSnapshot.h"
#include "decide/TokenBucket.h"
#include "share/ShareSettings.h"

namespace caraway {

// Sync creates and drops buckets as slots and configured tenants change. A new
// bucket begins empty, unless its slot was never held (full) or was handed over
// gracefully (the tokens left).
class ShareBuckets
{
public:
  using Levels = std::map<int, std::map<std::string, double>>;

  ShareBuckets(ShareSettings aSettings, std::string aSelf);

  void Sync(const ShareTable& aTable,
            const ConfigSnapshot& aConfig,
            TimePoint aNow);
  // Null when the tenant is unknown or the slot isn't held here.
  TokenBucket* Find(const std::string& aTenant, int aSlot);
  // Tokens left in each tenant's bucket of these slots.
  Levels LevelsOf(const std::set<int>& aSlots, TimePoint aNow) const;

private:
  using Key = std::pair<std::string, int>; // tenant and slot

  TokenBucket MakeBucket(const Tenant& aTenant,
                         int aSlot,
                         const ShareSlot& aSlotEntry,
                         TimePoint aNow);

  ShareSettings mSettings;
  std::string mSelf;
  std::map<Key, TokenBucket> mBuckets;
  // Versions that mBuckets were built from.
  std::map<int, int64_t> mSlots; // slot: serial at which it was acquired
  int64_t mChangedSerial = -1;   // of the table
  int64_t mRevision = -1;        // of the configuration
};

} // namespace caraway

#endif
