#include "decide/WatchStep.h"

#include <algorithm>

namespace caraway {

std::string
WatchRank(double aCpuShare, const std::string& aName, bool aLeads)
{
  constexpr int kSteps = 1000;
  auto less = static_cast<int>(kSteps * (1 - std::clamp(aCpuShare, 0.0, 1.0)));
  return std::to_string(kSteps + less) + (aLeads ? "1/" : "0/") + aName;
}

namespace {

// The name in a rank; ranks change, names don't.
std::string
NameOf(const std::string& aRank)
{
  return aRank.substr(aRank.find('/') + 1);
}

} // namespace

WatchStep::WatchStep(std::string aRank)
  : mRank(std::move(aRank))
{
}

bool
WatchStep::OnUpdate(const std::string& aFrom,
                    TimePoint aUpdateAt,
                    TimePoint aOwnUpdateAt,
                    TimePoint aNow)
{
  bool same = NameOf(aFrom) == NameOf(mFollowed);
  if (aNow - aUpdateAt >= kMaxUpdateAge || NameOf(aFrom) == NameOf(mRank)) {
    return false;
  }
  if (Follows(aNow)) {
    if (aFrom > mFollowed && !same) {
      return false;
    }
  } else if (aNow - aOwnUpdateAt < kMaxUpdateAge && aFrom > mRank) {
    return false;
  }
  mUpdateAt = same ? std::max(mUpdateAt, aUpdateAt) : aUpdateAt;
  mFollowed = aFrom;
  return true;
}

bool
WatchStep::Follows(TimePoint aNow) const
{
  return !mFollowed.empty() && aNow - mUpdateAt < kMaxUpdateAge;
}

} // namespace caraway
