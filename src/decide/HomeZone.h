// HomeZone.h: which of several nearby zones holds a rarely used model.
//
// Zones that are a few milliseconds apart share a model: one of them, its home
// zone, loads it, and the requests of all are sent there. With a replica in
// each of three zones, the replicas would idle three times as long and be cold
// three times as often. A zone loads the model itself when it can't reach the
// home zone, or when it uses the model enough to keep its own replica busy.
#ifndef caraway_decide_HomeZone_h
#define caraway_decide_HomeZone_h

#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct HomeZoneParameters
{
  double mBusyThreshold = 60; // requests in mWindow that justify a replica
  Millis mWindow{ 60000 };
  Millis mHomeRetryDelay{ 10000 }; // after the home zone failed
  Millis mLoadInterval{ 60000 };   // between loads begun for a busy zone
};

// State of one model at its owner in one zone.
struct HomeZoneState
{
  double mCount = 0; // requests, decaying exponentially over mWindow
  TimePoint mCountedAt{};
  TimePoint mServeLocallyUntil{}; // set when the home zone failed
  TimePoint mLoadBegun{};         // last load begun because the zone is busy
};

struct HomeZoneView
{
  bool mIsHome = true;   // this zone is the home, or reaches no other zone
  bool mServing = false; // this zone has a ready replica
  bool mWaiting = false; // requests wait in this zone for a replica
};

enum class HomeZoneAction
{
  Local,         // serve in this zone, loading the model if needed
  Remote,        // serve at the home zone
  RemoteAndLoad, // begin a load here; serve at the home zone until it ends
};

// Decides where a request of this zone is served.
HomeZoneAction
HomeZoneRoute(HomeZoneState& aState,
              const HomeZoneView& aView,
              const HomeZoneParameters& aParameters,
              TimePoint aNow);
// Records that the home zone didn't answer or couldn't serve a request.
void
HomeZoneFailed(HomeZoneState& aState,
               const HomeZoneParameters& aParameters,
               TimePoint aNow);
// Rendezvous hash: the same for all instances that see the same zones; few
// models move when a zone disappears.
std::string
HomeZoneOf(const std::vector<std::string>& aZones, const std::string& aModel);

} // namespace caraway

#endif
