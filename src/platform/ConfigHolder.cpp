#include "platform/ConfigHolder.h"

#include <algorithm>

namespace caraway {

ConfigHolder::ConfigHolder(const Clock& aClock)
  : mClock(aClock)
  , mCurrent(std::make_shared<const ConfigSnapshot>())
  , mConfirmed(aClock.Now())
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

Millis
ConfigHolder::Age() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return std::chrono::duration_cast<Millis>(mClock.Now() - mConfirmed);
}

} // namespace caraway
