// ConfigHolder.h: the configuration in force on this instance.
#ifndef caraway_platform_ConfigHolder_h
#define caraway_platform_ConfigHolder_h

#include <condition_variable>
#include <mutex>

#include "caraway/Clock.h"
#include "caraway/ConfigSnapshot.h"

namespace caraway {

struct ConfigFreshness
{
  int64_t mRevision = 0; // in force
  Millis mAge{ 0 };      // since it was last confirmed as the newest
};

// The revision only increases: a stale read, a late answer or a peer with an
// older revision can't replace it by an earlier one.
class ConfigHolder
{
public:
  explicit ConfigHolder(const Clock& aClock);

  // Never null; revision 0 before the first one is adopted.
  ConfigPtr Current() const;
  // False if aConfig isn't newer than the configuration in force.
  bool Adopt(ConfigSnapshot aConfig);
  // Records that aRevision was known to be the newest at aAt. Ignored if the
  // revision in force is older.
  void Confirm(int64_t aRevision, TimePoint aAt);
  ConfigFreshness Freshness() const;
  Millis Age() const { return Freshness().mAge; }

private:
  const Clock& mClock;
  mutable std::mutex mLock;
  ConfigPtr mCurrent;
  TimePoint mConfirmedAt;
};

} // namespace caraway

#endif
