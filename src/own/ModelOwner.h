// ModelOwner.h: queue, engine slots and cold start of each model in a zone.
#ifndef caraway_own_ModelOwner_h
#define caraway_own_ModelOwner_h

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/WorkerPool.h"
#include "caraway/Clock.h"
#include "own/CallEnds.h"
#include "own/EngineSlotRequest.h"
#include "own/HomeZones.h"
#include "own/Loader.h"
#include "own/ModelGroup.h"
#include "platform/ConfigHolder.h"

namespace caraway {

// All front instances of a zone request engine slots from the same owner of a
// model, so that a burst of first requests causes one load, the queue has a
// single order, and routers don't all choose the same engine. The owner
// redirects requests to the model's home zone if that is another zone. Any
// instance can be the owner; two at once cost a second queue but break no
// guarantee.
class ModelOwner
{
public:
  ModelOwner(ConfigHolder& aConfig,
             Loader& aLoader,
             WorkerPool& aWorkers,
             const Clock& aClock);

  // Without this call, every zone is the home zone of all models.
  void SetHomeZones(HomeZones& aHomes) { mHomes = &aHomes; }

  // Blocks for kMaxPollWait at most, since a front that waited in one long call
  // would not notice a frozen owner. Returns a slot, a zone to ask instead, a
  // refusal (the request has not run), or a ticket for Await.
  Result<EngineSlotGrant> Acquire(const EngineSlotRequest& aRequest);
  Result<EngineSlotGrant> Await(uint64_t aTicket);
  void ReleaseSlot(const EngineSlotRelease& aRelease);

  // Reclaims slots whose holders died, drops waiting requests that their fronts
  // no longer poll, and refuses requests past their deadline.
  void Sweep();
  // Requests waiting or in flight.
  size_t ActiveRequests() const;

  static constexpr Millis kMaxPollWait{ 1000 };
  // Fronts poll at least every kMaxPollWait. After this long without a poll the
  // front has died or lost its caller.
  static constexpr Millis kPollTimeout{ 4000 };

private:
  using WaiterPtr = std::shared_ptr<SlotWaiter>;
  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, ModelGroup> mGroups;     // see KeyOf
    std::map<uint64_t, WaiterPtr> mWaiters;        // by ticket
    std::map<uint64_t, HeldEngineSlot> mHeldSlots; // by slot id
  };
  static constexpr size_t kShards = 16;

  size_t ShardOf(const std::string& aKey) const;
  // The zone to redirect the request to; "" = none.
  std::string RedirectZoneFor(const EngineSlotRequest& aRequest,
                              const ModelSpec& aModel,
                              const ConfigSnapshot& aConfig,
                              ModelGroup& aGroup,
                              TimePoint aNow);
  // An id encodes its shard; see ShardOfId.
  uint64_t NextId(size_t aShard);
  Shard& ShardOfId(uint64_t aId) { return mShards[aId % kShards]; }
  Result<EngineSlotGrant> WaitFor(Shard& aShard, const WaiterPtr& aWaiter);
  void GrantWaiting(Shard& aShard, const std::string& aKey, TimePoint aNow);
  bool GrantNext(Shard& aShard,
                 const std::string& aKey,
                 ServingReplica& aReplica,
                 TimePoint aNow);
  void DropReplica(Shard& aShard, const HeldEngineSlot& aSlot, TimePoint aNow);
  void Refuse(Shard& aShard, uint64_t aTicket, const Failure& aFailure);
  void StartLoad(const std::string& aKey,
                 ModelGroup& aGroup,
                 const ModelSpec& aModel,
                 LoadNeed aNeed,
                 TimePoint aUntil);
  void RunLoad(const std::string& aKey,
               const ModelSpec& aModel,
               LoadNeed aNeed,
               TimePoint aUntil);
  void OnLoadFailed(const std::string& aKey,
                    const ModelSpec& aModel,
                    LoadNeed aNeed,
                    const Failure& aFailure);
  Result<void> EnsureAdapterLoaded(Shard& aShard,
                                   const std::string& aKey,
                                   const EndpointSpec& aEndpoint,
                                   const std::string& aAdapter);

  void PruneReplicas(const ConfigSnapshot& aConfig);

  ConfigHolder& mConfig;
  Loader& mLoader;
  WorkerPool& mWorkers;
  const Clock& mClock;
  HomeZones* mHomes = nullptr;
  HomeZoneParameters mHomeZoneParameters;
  CallEnds mCallEnds;
  std::array<Shard, kShards> mShards;
  std::atomic<uint64_t> mNextId{ 1 };
  int64_t mPrunedRevision = 0; // used by Sweep()'s thread only
};

} // namespace caraway

#endif
