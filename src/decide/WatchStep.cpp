#include "decide/WatchStep.h"

#include <algorithm>

namespace caraway {

std::string
WatchRank(double aCpuShare, const std::string& aName)
{
  constexpr int kSteps = 1000;
  auto less = static_cast<int>(kSteps * (1 - std::clamp(aCpuShare, 0.0, 1.0)));
  return std::to_string(kSteps + less) + "/" + aName;
}

WatchStep::WatchStep(std::string aRank)
  : mSelf(std::move(aRank))
{
}

bool
WatchStep::OnTold(const std::string& aFrom,
                  TimePoint aNewsAt,
                  TimePoint aOwnNewsAt,
                  TimePoint aNow)
{
  if (aNow - aNewsAt >= kFollow || aFrom == mSelf) {
    return false;
  }
  if (Follows(aNow)) {
    if (aFrom > mLeader) {
      return false;
    }
  } else if (aNow - aOwnNewsAt < kFollow && aFrom > mSelf) {
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
