// LoadPlan.h: which engine loads a cold model, and what it evicts for it.
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
  bool mReachable = false; // its engine answered with a report
};

struct LoadPlanParameters
{
  // Cost of loading from each source, relative to the remote store.
  double mMemoryCost = 0.1;
  double mDiskCost = 0.4;
  double mRemoteCost = 1.0;
  // A replica used within this time isn't evicted: two models that are used in
  // turn would otherwise evict each other on every request.
  Millis mMinIdle{ 2000 };
  // The same for an optional load, which no request waits for.
  Millis mOptionalMinIdle{ 60000 };
  // A replica that has been idle this long costs nothing to evict.
  Millis mFreeEvictionIdle{ 600000 };
};

struct LoadPlan
{
  int mCandidate = -1;               // index; -1 = no engine
  std::vector<PlacedReplica> mEvict; // of that candidate, in this order
  bool mJoin = false; // the engine has it already, loading or ready
};

// Whether the engine of aReport would load aName from the weight store.
bool
LoadPlanFromStore(const EngineReport& aReport, const std::string& aName);

// How long a replica may idle at an engine before it is unloaded. An idle
// replica costs accelerator time, an unloaded one the time of a reload times
// its probability: with the checkpoint cached near the engine a reload is cheap
// and the limit shorter. aBase is the limit for a reload from the remote store.
Millis
LoadPlanIdleLimit(const EngineReport& aReport,
                  const std::string& aName,
                  Millis aBase,
                  const LoadPlanParameters& aParameters);

// Chooses an engine that has the model or is loading it, else the cheapest
// one. The cost of an engine is made up of the source of the checkpoint, the
// requests in flight and the evictions: the reload time of each evicted replica
// times the probability that it is needed again soon, which falls with its idle
// time.
LoadPlan
LoadPlanChoose(const std::vector<LoadCandidate>& aCandidates,
               const std::string& aName,
               const std::string& aVersion,
               int64_t aBytes,
               const LoadPlanParameters& aParameters);

} // namespace caraway

#endif
