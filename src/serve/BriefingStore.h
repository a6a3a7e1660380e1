// BriefingStore.h: briefings at the platform, and the lists of open ones.
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

// One object per briefing, and a few objects that list the open ones, so that
// whoever comes after all instances have died finds what is still owed.
class BriefingStore
{
public:
  static constexpr int kLists = 8;
  static int ListOf(const std::string& aId);

  explicit BriefingStore(PlatformApi& aPlatform);

  // Listed first and then kept: a listed one that isn't kept is dropped from
  // the list by its runner, a kept one that isn't listed would be lost.
  // PlatformUnavailable when it can't be told that both are in force; the
  // caller must not be told that it was accepted then.
  Result<void> Keep(const Briefing& aBriefing);
  Result<StoredBriefing> Read(const std::string& aId);
  // Only an accepted one is replaced: the first ending stays.
  Result<void> End(StoredBriefing& aStored, const Briefing& aEnded);
  Result<std::set<std::string>> Open(int aList);
  Result<void> Close(const std::string& aId);

private:
  Result<void> ChangeList(const std::string& aId, bool aAdd);

  PlatformApi& mPlatform;
};

} // namespace caraway

#endif
