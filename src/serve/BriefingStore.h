// BriefingStore.h: stores briefings at the platform, with lists of the open
// ones.
#ifndef caraway_serve_BriefingStore_h
#define caraway_serve_BriefingStore_h

#include <set>
#include <string>

#include "platform/PlatformApi.h"
#include "serve/Briefing.h"

namespace caraway {

struct StoredBriefing
{
  Briefing mBriefing;
  int64_t mVersion = 0;
};

// Holds one object per briefing and a few objects that list the open ones, so
// that open briefings are found again after all instances have died.
class BriefingStore
{
public:
  static constexpr int kLists = 8;
  static int ListOf(const std::string& aId);

  explicit BriefingStore(PlatformApi& aPlatform);

  // Adds the briefing to its list first and stores it second: a listed briefing
  // that isn't stored is dropped from the list by its runner, while a stored
  // one that isn't listed would be lost. PlatformUnavailable if it is uncertain
  // whether both writes took effect; the briefing must not be reported as
  // accepted then.
  Result<void> Store(const Briefing& aBriefing);
  Result<StoredBriefing> Read(const std::string& aId);
  // Replaces a briefing only while it is in state Accepted: the first result
  // stays.
  Result<void> StoreResult(StoredBriefing& aStored, const Briefing& aEnded);
  Result<std::set<std::string>> OpenIds(int aList);
  Result<void> RemoveFromList(const std::string& aId);

private:
  Result<void> ChangeList(const std::string& aId, bool aAdd);

  PlatformApi& mPlatform;
};

} // namespace caraway

#endif
