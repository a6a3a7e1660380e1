#include "decide/LoadClaims.h"

namespace caraway {

namespace {

// A load that is this late has failed, or its zone is gone; then any zone that
// is asked may load the model.
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
                    OwnProgress aOwn)
{
  // Both zones may have queued the model at the same moment. Each receives the
  // other's claim, and the zone whose name sorts first keeps the load.
  bool yields = aOwn == OwnProgress::None ||
                (aOwn == OwnProgress::Queued && (aBegun || aZone < mZone));
  if (yields) {
    mExpected[aModel] = aExpected;
  }
  return yields && aOwn == OwnProgress::Queued;
}

std::optional<TimePoint>
LoadClaims::ExpectedFromOtherZone(const std::string& aModel,
                                  TimePoint aNow) const
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
