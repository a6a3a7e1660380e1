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

// Follow the slots we hold and the tenants of the configuration. A new bucket
// begins empty, but for a slot whose last holder left gracefully and said what
// was left, or that nobody has ever held.
class ShareBuckets
{
public:
  using Levels = std::map<int, std::map<std::string, double>>;

  ShareBuckets(ShareSettings aSettings, std::string aSelf);

  void Sync(const ShareTable& aTable,
            const ConfigSnapshot& aConfig,
            TimePoint aNow);
  // Null when the tenant is unknown or the slot isn't ours.
  TokenBucket* Find(const std::string& aTenant, int aSlot);
  // What is left in each tenant's bucket of these slots.
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
  // What mBuckets were made from.
  std::map<int, int64_t> mSlots; // slot: serial at which it came to us
  int64_t mChangedSerial = -1;   // serial of the table
  int64_t mRevision = -1;        // of the configuration
};

} // namespace caraway

#endif
