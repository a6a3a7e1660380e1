#include "decide/LoadClaims.h"

#include "base/EraseIf.h"

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
    mClaims[aModel] = { aZone, aExpected };
  }
  return yields && aOwn == OwnProgress::Queued;
}

std::optional<TimePoint>
LoadClaims::ExpectedFromOtherZone(const std::string& aModel,
                                  TimePoint aNow) const
{
  auto found = mClaims.find(aModel);
  if (found == mClaims.end() || aNow > found->second.mExpected + kOverdue) {
    return std::nullopt;
  }
  return found->second.mExpected;
}

void
LoadClaims::ForgetZones(const std::set<std::string>& aZones)
{
  EraseIf(mClaims, [&aZones](const auto& aEntry) {
    return aZones.count(aEntry.second.mZone) > 0;
  });
}

void
LoadClaims::Forget(TimePoint aNow)
{
  EraseIf(mClaims, [aNow](const auto& aEntry) {
    return aNow > aEntry.second.mExpected + kOverdue;
  });
}

} // namespace caraway
