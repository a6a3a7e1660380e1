// PlacementPlan.h: on which server a missing model is loaded, and what makes
// way for it.
//
// The load it answers: many rare models, each asked for every twenty seconds
// or so, on servers that hold three models each and keep copies of twenty on
// disk. A load from the weight store takes six seconds and shares a few
// places over the whole fleet; from a server's own disk it takes about one
// and shares nothing. So a model is loaded where its copy lies, unless that
// server is busy for longer than the difference, and what yields is what is
// cheapest to have back.
#ifndef caraway_decide_PlacementPlan_h
#define caraway_decide_PlacementPlan_h

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/ServerView.h"
#include "decide/ServingConfig.h"

namespace caraway {

enum class WeightSource
{
  Memory, // of the server
  Disk,   // of the server
  Store,  // of the fleet, with a limit of its own
};

// What the planner is told beside the fleet itself.
struct PlacementFacts
{
  std::string mService;
  std::string mZone;                    // servers of this zone only
  std::map<std::string, double> mRates; // requests a second, by model
  std::map<std::string, int> mReplicas; // by model, over all zones
  std::map<std::string, Millis> mBusy;  // servers with an order under way
  std::set<std::string> mAvoid;         // servers that fail just now
  // Server and model that came a moment ago: those who waited for it are only
  // now being told. Pushed out at once, it would have been loaded in vain.
  std::set<std::pair<std::string, std::string>> mRecentlyLoaded;
  Millis mStoreWait{ 0 }; // until the store lets a load begin
};

struct PlacementChoice
{
  std::string mServer;
  std::vector<std::string> mEvict; // models that make way, in this order
  WeightSource mSource = WeightSource::Store;
  Millis mWait{ 0 };   // before it can begin
  Millis mUnload{ 0 }; // of what makes way
  Millis mLoad{ 0 };   // from then on

  Millis Whole() const { return mWait + mUnload + mLoad; }
};

// What a server takes to carry out the unload of a model that nobody uses; it
// accepts no other order meanwhile. Sent at once, the next order is refused
// twice, and each has its price: with this a place takes two orders, without
// four.
inline constexpr Millis kUnloadTime{ 50 };

// Servers that hold each model and aren't leaving.
std::map<std::string, int>
CountReplicas(const ServerView& aServers);

WeightSource
SourceOf(const Backend& aBackend, const std::string& aModel);
Millis
LoadTime(const ModelWeights& aModel, WeightSource aSource);

// Whether aModel, or aAdapter of it, fits beside aHeld.
bool
FitsBeside(const EngineSpec& aEngine,
           const HeldModels& aHeld,
           const std::string& aModel,
           const std::string& aAdapter);

enum class ReplicaNeed
{
  None,
  Soon, // before requests have to wait
  Now,  // they wait already
};

// Whether aOwnZone should load another replica of aModel, asked for aRate times
// a second: more is asked of the servers that hold it than they serve well, or
// a busy model isn't held in this zone at all.
ReplicaNeed
EvaluateReplicaNeed(const std::string& aService,
                    const std::string& aModel,
                    const ServerView& aServers,
                    const std::vector<std::string>& aZones,
                    const std::string& aOwnZone,
                    double aRate);

// Nothing when no server of the zone can ever take it: too large, or all that
// it could push out is in use.
std::optional<PlacementChoice>
ChoosePlacement(const EngineSpec& aEngine,
                const std::string& aModel,
                const ServerView& aServers,
                const PlacementFacts& aFacts);

} // namespace caraway

#endif
