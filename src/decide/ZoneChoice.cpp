#include "decide/ZoneChoice.h"

#include <algorithm>

namespace caraway {

namespace {

// Time that a queued load occupies a server. Most loads are from disk.
constexpr double kSecondsPerLoad = 0.8;

// Seconds of waiting that another zone must save to be preferred: its answers
// cross between zones twice.
constexpr double kCrossZoneCost = 0.1;

double
CostOf(const ZoneOffer& aOffer, const std::string& aOwnZone)
{
  double seconds = std::chrono::duration<double>(aOffer.mReadyIn).count();
  double queue =
    kSecondsPerLoad * aOffer.mQueued / std::max(1, aOffer.mServers);
  return seconds + queue + (aOffer.mZone == aOwnZone ? 0 : kCrossZoneCost);
}

} // namespace

std::string
ChooseZone(const std::vector<ZoneOffer>& aOffers, const std::string& aOwnZone)
{
  auto best = std::min_element(
    aOffers.begin(),
    aOffers.end(),
    [&aOwnZone](const ZoneOffer& aOne, const ZoneOffer& aOther) {
      return CostOf(aOne, aOwnZone) < CostOf(aOther, aOwnZone);
    });
  return best == aOffers.end() ? "" : best->mZone;
}

} // namespace caraway
