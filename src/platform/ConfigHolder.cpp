#include "platform/ConfigHolder.h"

#include <algorithm>

namespace caraway {

namespace {

// Age of what nobody has confirmed yet. Were it counted from the start, an
// instance started in a cut zone would take a stale configuration from a peer
// and call it fresh, and its peers would believe it: withdrawn keys would live
// as long as instances are replaced.
constexpr std::chrono::hours kNever{ 24 * 365 };

} // namespace

ConfigHolder::ConfigHolder(const Clock& aClock)
  : mClock(aClock)
  , mCurrent(std::make_shared<const ConfigSnapshot>())
  , mConfirmed(aClock.Now() - kNever)
{
}

ConfigPtr
ConfigHolder::Current() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mCurrent;
}

bool
ConfigHolder::Adopt(ConfigSnapshot aConfig)
{
  auto next = std::make_shared<const ConfigSnapshot>(std::move(aConfig));
  std::lock_guard<std::mutex> lock(mLock);
  if (next->mRevision <= mCurrent->mRevision) {
    return false;
  }
  mCurrent = std::move(next);
  return true;
}

void
ConfigHolder::Confirm(int64_t aRevision, TimePoint aAt)
{
  std::lock_guard<std::mutex> lock(mLock);
  if (mCurrent->mRevision >= aRevision) {
    mConfirmed = std::max(mConfirmed, aAt);
  }
}

// Both at one moment: an older revision with the age of a newer one would
// tell a peer that the older one is the newest.
ConfigFreshness
ConfigHolder::Fresh() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return { mCurrent->mRevision,
           std::chrono::ceil<Millis>(mClock.Now() - mConfirmed) };
}

} // namespace caraway
