#include "decide/HomeZone.h"

#include <cmath>

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

void
Count(HomeZoneState& aState,
      const HomeZoneParameters& aParameters,
      TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  double passed =
    Seconds(aNow - aState.mCounted) / Seconds(aParameters.mWindow);
  aState.mCount = aState.mCount * std::exp(-passed) + 1;
  aState.mCounted = aNow;
}

} // namespace

HomeZoneAction
HomeZoneRoute(HomeZoneState& aState,
              const HomeZoneView& aView,
              const HomeZoneParameters& aParameters,
              TimePoint aNow)
{
  Count(aState, aParameters, aNow);
  // Whoever waits here was sent here because the home failed; sending others
  // away meanwhile would load a second replica there.
  if (aView.mHome || aView.mServing || aView.mWaiting ||
      aNow < aState.mServeLocallyUntil) {
    return HomeZoneAction::Here;
  }
  bool begun = aState.mLoadBegun != TimePoint{} &&
               aNow - aState.mLoadBegun < aParameters.mLoadInterval;
  if (aState.mCount >= aParameters.mBusy && !begun) {
    aState.mLoadBegun = aNow;
    return HomeZoneAction::RemoteAndLoad;
  }
  return HomeZoneAction::Away;
}

void
HomeZoneFailed(HomeZoneState& aState,
               const HomeZoneParameters& aParameters,
               TimePoint aNow)
{
  aState.mServeLocallyUntil = aNow + aParameters.mFailed;
}

std::string
HomeZoneOf(const std::vector<std::string>& aZones, const std::string& aModel)
{
  return RendezvousOwner(aZones, "home/" + aModel);
}

} // namespace caraway
