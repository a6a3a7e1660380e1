// PlacementPlan.h: chooses the server that loads a missing model, and the
// models evicted for it.
//
// The load that it is designed for: many rare models, each requested about
// every twenty seconds, on servers that hold three models in memory and keep
// copies of twenty on disk. A load from the weight store takes six seconds and
// competes for a few permits shared by the whole fleet; a load from the
// server's own disk takes about one second and shares nothing. So a model is
// loaded where its copy is, unless that server is busy for longer than the
// difference, and the models evicted are those that are cheapest to reload.
//
// Where servers report their pace, the requests that can't wait for a load are
// counted apart. There a model is worth keeping for these above all, and a load
// for callers that can wait costs little while they can.
#ifndef caraway_decide_PlacementPlan_h
#define caraway_decide_PlacementPlan_h

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/LoadPatience.h"
#include "decide/ServerRoom.h"
#include "decide/ServerView.h"
#include "decide/ServingConfig.h"
#include "decide/UrgentDemand.h"

namespace caraway {

enum class WeightSource
{
  Memory, // a copy in the server's memory
  Disk,   // a copy on the server's disk
  Store,  // shared by the fleet, with a rate limit
};

// A model that may be evicted from a server.
struct EvictionCandidate
{
  std::string mModel;
  // Seconds of waiting that its eviction costs other requests.
  double mValue = 0;
  double mMb = 0;
};

// The models that loads of a purpose may evict from a server, the cheapest
// first.
using EvictionLists =
  std::map<std::pair<std::string, LoadPurpose>, std::vector<EvictionCandidate>>;

// Inputs of the plan besides the list of servers.
struct PlacementFacts
{
  std::string mService;
  std::string mZone; // only servers of this zone are considered
  std::map<std::string, double> mRates; // requests per second, by model
  std::map<std::string, int> mReplicas; // by model, over all zones
  // Whether the urgent demand is known, which only services have whose servers
  // report their pace. The two maps below are used only then.
  bool mKnowsUrgent = false;
  std::map<std::string, UrgentRates> mUrgent;
  std::map<std::string, int> mZoneReplicas; // by model, in mZone
  // Remaining time, by server with an order in progress.
  std::map<std::string, Millis> mBusy;
  std::set<std::string> mAvoid; // servers that are failing
  // Room that late orders may take, by server and by the number of further
  // orders, from one on; see LateOrders. Only servers to which they may come.
  std::map<std::string, std::vector<RoomUse>> mLateOrders;
  // Server and model of loads that have just finished: the requests waiting for
  // them are still being notified. Evicting such a model would waste its load.
  std::set<std::pair<std::string, std::string>> mRecentlyLoaded;
  Millis mStoreWait{ 0 }; // until the store admits another load
  // If set, keeps what placements by the same facts have found. Its owner
  // clears it when the facts, the servers or the requests in flight change.
  EvictionLists* mEvictions = nullptr;
};

struct PlacementChoice
{
  std::string mServer;
  std::vector<std::string> mEvict; // in this order
  WeightSource mSource = WeightSource::Store;
  Millis mWait{ 0 };   // until the server and the store are free
  Millis mUnload{ 0 }; // duration of all evictions
  Millis mLoad{ 0 };   // duration of the load itself

  Millis TotalTime() const { return mWait + mUnload + mLoad; }
};

// Time that a server needs to unload an unused model; it accepts no other order
// meanwhile. A load sent at once would be refused twice, and every order has a
// cost. With this delay a placement takes two orders instead of four.
inline constexpr Millis kUnloadTime{ 50 };

// Number of servers that hold each model, without draining ones and those of
// aExcludedZones. aZone: only those of this zone; "" = all.
std::map<std::string, int>
CountReplicas(const ServerView& aServers,
              const std::set<std::string>& aExcludedZones = {},
              const std::string& aZone = "");

WeightSource
SourceOf(const Backend& aBackend, const std::string& aModel);
Millis
LoadTime(const ModelWeights& aModel, WeightSource aSource);

enum class ReplicaNeed
{
  None,
  Zone, // urgent callers of the zone are served by other zones only
  Soon, // before requests have to wait
  Now,  // requests are already waiting
};

// Whether aOwnZone should load another replica of aModel, which is
// requested aRate times per second: its replicas are overloaded, or a popular
// model has no replica in this zone. Servers of aExcludedZones don't count, and
// no load is expected of these zones. aUrgent: the requests that can't wait for
// a load; zero where that isn't known. aLoad: time until a replica from a copy
// on a disk serves requests.
ReplicaNeed
EvaluateReplicaNeed(const std::string& aService,
                    const std::string& aModel,
                    const ServerView& aServers,
                    const std::vector<std::string>& aZones,
                    const std::string& aOwnZone,
                    double aRate,
                    const std::set<std::string>& aExcludedZones = {},
                    const UrgentRates& aUrgent = {},
                    Millis aLoad = Millis(0));

// Returns nullopt if no server of the zone can take aModel: it is too large, or
// all models that could be evicted are in use. aVersion: software version of
// the servers considered; "" = any. aPatience: of the callers that the load is
// for; used only if aFacts.mKnowsUrgent.
std::optional<PlacementChoice>
ChoosePlacement(const EngineSpec& aEngine,
                const std::string& aModel,
                const ServerView& aServers,
                const PlacementFacts& aFacts,
                const std::string& aVersion = "",
                const LoadPatience& aPatience = {});

} // namespace caraway

#endif
