#include "decide/LoadClaims.h"

namespace caraway {

namespace {

// A load that hasn't shown so long after it was expected has failed, or its
// zone is gone; then whoever is asked takes it up.
constexpr Millis kOverdue{ 300 };

} // namespace

LoadClaims::LoadClaims(std::string aZone)
  : mZone(std::move(aZone))
{
}

bool
LoadClaims::OnClaim(const std::string& aModel,
                    const std::string& aZone,
                    bool aBegun,
                    TimePoint aExpected,
                    Mine aMine)
{
  // Both may have queued it at the same moment; each hears of the other, and
  // the first by name goes on.
  bool yields =
    aMine == Mine::None || (aMine == Mine::Queued && (aBegun || aZone < mZone));
  if (yields) {
    mExpected[aModel] = aExpected;
  }
  return yields && aMine == Mine::Queued;
}

std::optional<TimePoint>
LoadClaims::Elsewhere(const std::string& aModel, TimePoint aNow) const
{
  auto found = mExpected.find(aModel);
  if (found == mExpected.end() || aNow > found->second + kOverdue) {
    return std::nullopt;
  }
  return found->second;
}

void
LoadClaims::Forget(TimePoint aNow)
{
  for (auto at = mExpected.begin(); at != mExpected.end();) {
    at = aNow > at->second + kOverdue ? mExpected.erase(at) : std::next(at);
  }
}

} // namespace caraway
