#include "decide/HomeZone.h"

#include <cmath>

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

void
CountRequest(HomeZoneState& aState,
             const HomeZoneParameters& aParameters,
             TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  double passed =
    Seconds(aNow - aState.mCountedAt) / Seconds(aParameters.mWindow);
  aState.mCount = aState.mCount * std::exp(-passed) + 1;
  aState.mCountedAt = aNow;
}

} // namespace

HomeZoneAction
HomeZoneRoute(HomeZoneState& aState,
              const HomeZoneView& aView,
              const HomeZoneParameters& aParameters,
              TimePoint aNow)
{
  CountRequest(aState, aParameters, aNow);
  // Requests that wait in this zone do so because the home zone failed.
  // Redirecting others to it meanwhile would load a second replica there.
  if (aView.mIsHome || aView.mServing || aView.mWaiting ||
      aNow < aState.mServeLocallyUntil) {
    return HomeZoneAction::Local;
  }
  bool begun = aState.mLoadBegun != TimePoint{} &&
               aNow - aState.mLoadBegun < aParameters.mLoadInterval;
  if (aState.mCount >= aParameters.mBusyThreshold && !begun) {
    aState.mLoadBegun = aNow;
    return HomeZoneAction::RemoteAndLoad;
  }
  return HomeZoneAction::Remote;
}

void
HomeZoneFailed(HomeZoneState& aState,
               const HomeZoneParameters& aParameters,
               TimePoint aNow)
{
  aState.mServeLocallyUntil = aNow + aParameters.mHomeRetryDelay;
}

std::string
HomeZoneOf(const std::vector<std::string>& aZones, const std::string& aModel)
{
  return RendezvousOwner(aZones, "home/" + aModel);
}

} // namespace caraway
