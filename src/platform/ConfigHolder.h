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
  Millis mAge{ 0 };      // since it was last known to be the newest
};

// Only ever goes forward: a stale read, a late answer or a peer that lags
// can't bring an older revision back.
class ConfigHolder
{
public:
  explicit ConfigHolder(const Clock& aClock);

  // Never null; revision 0 when there is none yet.
  ConfigPtr Current() const;
  // False when it isn't newer than what stands.
  bool Adopt(ConfigSnapshot aConfig);
  // At aAt, aRevision was known to be the newest. Ignored when we have an
  // older one than that.
  void Confirm(int64_t aRevision, TimePoint aAt);
  ConfigFreshness Fresh() const;
  Millis Age() const { return Fresh().mAge; }

private:
  const Clock& mClock;
  mutable std::mutex mLock;
  ConfigPtr mCurrent;
  TimePoint mConfirmed;
};

} // namespace caraway

#endif
