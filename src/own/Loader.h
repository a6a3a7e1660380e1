// Loader.h: decides on loads and evictions and carries them out.
#ifndef caraway_own_Loader_h
#define caraway_own_Loader_h

#include <atomic>
#include <optional>
#include <string>

#include "caraway/Clock.h"
#include "caraway/ConfigSnapshot.h"
#include "decide/LoadPlan.h"
#include "own/EngineClient.h"
#include "own/LoadPermit.h"
#include "own/PlacementStore.h"

namespace caraway {

struct LoaderSettings
{
  std::string mZone;
  Millis mPollInterval{ 50 };   // between reports of an engine
  Millis mMaxRecordAge{ 5000 }; // no order is sent on an older record
  LoadPlanParameters mParameters;
};

enum class LoadNeed
{
  Required, // requests wait for the load
  Optional  // spares requests the redirect to the home zone; none waits
};

struct LoaderCounts
{
  std::atomic<int64_t> mDecided{ 0 };
  std::atomic<int64_t> mEvicted{ 0 };
  std::atomic<int64_t> mJoined{ 0 };
  std::atomic<int64_t> mOptionalAbandoned{ 0 };
};

class Loader
{
public:
  Loader(LoaderSettings aSettings,
         PlacementStore& aStore,
         EngineClient& aEngines,
         const Clock& aClock);
  // From then on loads from the weight store need a permit of aGate.
  void SetStoreGate(StoreGate& aGate) { mGate = &aGate; }

  // Blocks until the model is ready at an engine of this zone, if aSoftware is
  // set, one of this software version. Fails with
  // NoCapacity if no engine has it ready by aUntil, with NoEndpoint if none
  // answers. An optional load evicts no recently used replica and fails at once
  // when memory is short: an additional replica isn't worth another model's
  // cold start.
  Result<EndpointSpec> Ensure(const ConfigSnapshot& aConfig,
                              const ModelSpec& aModel,
                              const std::optional<std::string>& aSoftware,
                              LoadNeed aNeed,
                              const LoadPermit::Urgency& aUrgency,
                              TimePoint aUntil);
  // The same for an adapter, at the given engine.
  Result<void> EnsureAdapter(const EndpointSpec& aEndpoint,
                             const ModelSpec& aAdapter,
                             TimePoint aUntil);

  // Stores the decision to unload, sends the order and waits until the replica
  // is gone.
  bool Evict(const EndpointSpec& aEndpoint,
             StoredPlacement& aStored,
             const PlacedReplica& aReplica,
             TimePoint aUntil);
  // Sends the load order of a decision again, as it may not have arrived or its
  // decider may have died before sending. The copy is counted in the stored
  // record first.
  OrderOutcome ResendLoad(const EndpointSpec& aEndpoint,
                          StoredPlacement& aStored,
                          const std::string& aDecision);

  const LoaderCounts& Counts() const { return mCounts; }

private:
  std::vector<LoadCandidate> Candidates(
    const std::vector<EndpointSpec>& aEngines,
    const std::vector<StoredPlacement>& aStored);
  Result<void> LoadAdapter(const EndpointSpec& aEndpoint,
                           const ModelSpec& aAdapter,
                           TimePoint aUntil);
  OrderOutcome SendLoad(const EndpointSpec& aEndpoint,
                        StoredPlacement& aStored,
                        const std::string& aDecision);
  Result<void> LoadAt(const EndpointSpec& aEndpoint,
                      StoredPlacement& aStored,
                      const ModelSpec& aModel,
                      LoadPermit& aPermit,
                      TimePoint aUntil);
  Result<void> AwaitReady(const EndpointSpec& aEndpoint,
                          StoredPlacement& aStored,
                          const ModelSpec& aModel,
                          bool aOrdered,
                          LoadPermit& aPermit,
                          TimePoint aUntil);

  LoaderSettings mSettings;
  PlacementStore& mStore;
  EngineClient& mEngines;
  const Clock& mClock;
  StoreGate* mGate = nullptr;
  LoaderCounts mCounts;
};

} // namespace caraway

#endif
