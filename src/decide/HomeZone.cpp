#include "decide/HomeZone.h"

#include <cmath>

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

void
Count(HomeZoneState& aState, const HomeZoneTerms& aTerms, TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  double passed = Seconds(aNow - aState.mCounted) / Seconds(aTerms.mWindow);
  aState.mCount = aState.mCount * std::exp(-passed) + 1;
  aState.mCounted = aNow;
}

} // namespace

HomeZoneAction
HomeZoneAsk(HomeZoneState& aState,
            const HomeZoneView& aView,
            const HomeZoneTerms& aTerms,
            TimePoint aNow)
{
  Count(aState, aTerms, aNow);
  // Whoever waits here was sent here because the home failed; sending others
  // away meanwhile would load a second replica there.
  if (aView.mHome || aView.mServing || aView.mWaiting ||
      aNow < aState.mHereUntil) {
    return HomeZoneAction::Here;
  }
  bool begun = aState.mLoadBegun != TimePoint{} &&
               aNow - aState.mLoadBegun < aTerms.mLoadAgain;
  if (aState.mCount >= aTerms.mBusy && !begun) {
    aState.mLoadBegun = aNow;
    return HomeZoneAction::AwayAndLoad;
  }
  return HomeZoneAction::Away;
}

void
HomeZoneFailed(HomeZoneState& aState,
               const HomeZoneTerms& aTerms,
               TimePoint aNow)
{
  aState.mHereUntil = aNow + aTerms.mFailed;
}

std::string
HomeZoneOf(const std::vector<std::string>& aZones, const std::string& aModel)
{
  return RendezvousOwner(aZones, "home/" + aModel);
}

} // namespace caraway
