// HomeZone.h: which of the zones near each other keeps a rarely used model.
//
// Zones that are a few milliseconds apart share a model: one of them, its home,
// loads it for all, and requests go there. A replica for each zone would idle
// three times as long and be cold three times as often. A zone loads for itself
// when it can't reach the home, or when it uses the model so much that a
// replica of its own isn't idle.
#ifndef caraway_decide_HomeZone_h
#define caraway_decide_HomeZone_h

#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct HomeZoneParameters
{
  double mBusyThreshold = 60; // requests in mWindow that are worth a replica
  Millis mWindow{ 60000 };
  Millis mHomeRetryDelay{
    10000
  }; // after the home failed, before it is asked again
  Millis mLoadInterval{ 60000 }; // between loads begun for a busy zone
};

// Of one model, at its owner in one zone.
struct HomeZoneState
{
  double mCount = 0; // requests, each fading within mWindow
  TimePoint mCountedAt{};
  TimePoint mServeLocallyUntil{}; // the home has failed
  TimePoint mLoadBegun{};         // for a busy zone
};

struct HomeZoneView
{
  bool mIsHome = true;   // this zone is the home, or reaches no other
  bool mServing = false; // a replica here is ready
  bool mWaiting = false; // requests wait here for one
};

enum class HomeZoneAction
{
  Local,         // serve, and load if need be
  Remote,        // at the home
  RemoteAndLoad, // at the home until the load that is to begin here has ended
};

// A request has come from this zone.
HomeZoneAction
HomeZoneRoute(HomeZoneState& aState,
              const HomeZoneView& aView,
              const HomeZoneParameters& aParameters,
              TimePoint aNow);
// The home didn't answer, or can't serve it.
void
HomeZoneFailed(HomeZoneState& aState,
               const HomeZoneParameters& aParameters,
               TimePoint aNow);
// The same for all who see the same zones; few models move when one goes.
std::string
HomeZoneOf(const std::vector<std::string>& aZones, const std::string& aModel);

} // namespace caraway

#endif
