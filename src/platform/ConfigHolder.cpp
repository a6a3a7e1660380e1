#include "platform/ConfigHolder.h"

#include <algorithm>

namespace caraway {

namespace {

// Age of a configuration that was never confirmed. If age were counted from the
// process start, an instance started in an isolated zone would report a peer's
// stale configuration as fresh, its peers would accept that report, and
// withdrawn keys would stay valid for as long as instances are replaced.
constexpr std::chrono::hours kNeverConfirmedAge{ 24 * 365 };

} // namespace

ConfigHolder::ConfigHolder(const Clock& aClock)
  : mClock(aClock)
  , mCurrent(std::make_shared<const ConfigSnapshot>())
  , mConfirmedAt(aClock.Now() - kNeverConfirmedAge)
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
    mConfirmedAt = std::max(mConfirmedAt, aAt);
  }
}

// Reads both under one lock: a peer that received an older revision with the
// age of a newer one would take the older one for the newest.
ConfigFreshness
ConfigHolder::Freshness() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return { mCurrent->mRevision,
           std::chrono::ceil<Millis>(mClock.Now() - mConfirmedAt) };
}

} // namespace caraway
