// LoadPlan.h: where to load a cold model, and what must go for it.
#ifndef caraway_decide_LoadPlan_h
#define caraway_decide_LoadPlan_h

#include <string>
#include <vector>

#include "decide/EngineReport.h"
#include "decide/PlacementRecord.h"

namespace caraway {

struct LoadCandidate
{
  PlacementRecord mRecord;
  EngineReport mReport;
  bool mReachable = false; // its report is fresh
};

struct LoadPlanParameters
{
  // Loading from each place, relative to the remote store.
  double mMemoryCost = 0.1;
  double mDiskCost = 0.4;
  double mRemoteCost = 1.0;
  // A replica used within this time isn't evicted: two models that wake in
  // turn would otherwise evict each other on every request.
  Millis mMinIdle{ 2000 };
  // The same for a load that nobody waits for.
  Millis mOptionalMinIdle{ 60000 };
  // Idle this long, a replica is as good as free.
  Millis mFreeEvictionIdle{ 600000 };
};

struct LoadPlan
{
  int mCandidate = -1;               // index; -1 = nowhere
  std::vector<PlacedReplica> mEvict; // of that candidate, in order
  bool mJoin = false;                // it is there already: loading or ready
};

// Would aName come from the weight store there?
bool
LoadPlanFromStore(const EngineReport& aReport, const std::string& aName);

// How long a replica may idle at an engine before it is unloaded. Idling
// costs accelerator time, unloading the time of a reload times its likelihood:
// where the checkpoint lies near, a reload costs little and the replica goes
// sooner. aBase is for one that would come from the remote store.
Millis
LoadPlanIdleLimit(const EngineReport& aReport,
                  const std::string& aName,
                  Millis aBase,
                  const LoadPlanParameters& aParameters);

// Joins a load that is under way, else takes the cheapest endpoint by where
// the checkpoint lies, its load, and what evicting for it will cost: reload
// time times the likelihood of soon being used, by how long it has idled.
LoadPlan
LoadPlanChoose(const std::vector<LoadCandidate>& aCandidates,
               const std::string& aName,
               const std::string& aVersion,
               int64_t aBytes,
               const LoadPlanParameters& aParameters);

} // namespace caraway

#endif
