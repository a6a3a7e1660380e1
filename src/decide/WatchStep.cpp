#include "decide/WatchStep.h"

#include <algorithm>

namespace caraway {

WatchStep::WatchStep(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

bool
WatchStep::OnTold(const std::string& aFrom,
                  TimePoint aNewsAt,
                  bool aOwnFresh,
                  TimePoint aNow)
{
  if (aNow - aNewsAt >= kFollow || aFrom == mSelf) {
    return false;
  }
  if (Follows(aNow)) {
    if (aFrom > mLeader) {
      return false;
    }
  } else if (aOwnFresh && aFrom > mSelf) {
    return false;
  }
  mNewsAt = aFrom == mLeader ? std::max(mNewsAt, aNewsAt) : aNewsAt;
  mLeader = aFrom;
  return true;
}

bool
WatchStep::Follows(TimePoint aNow) const
{
  return !mLeader.empty() && aNow - mNewsAt < kFollow;
}

} // namespace caraway
