// ModelOwner.h: one queue per model and zone, and its cold start.
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
#include "own/Loader.h"
#include "own/ModelGroup.h"
#include "own/PlaceRequest.h"
#include "platform/ConfigHolder.h"

namespace caraway {

// All front instances of a zone ask the same owner for a place, so that a
// burst of first requests makes one load, a queue has one order, and many
// routers don't choose the same engine. Any instance can be the owner: two at
// once cost a second queue, not a promise.
class ModelOwner
{
public:
  ModelOwner(ConfigHolder& aConfig,
             Loader& aLoader,
             WorkerPool& aWorkers,
             const Clock& aClock);

  // Blocks until there is a place or it is known that there won't be in
  // time; the refusal is true "not run".
  Result<PlaceGrant> Acquire(const PlaceRequest& aRequest);
  void Return(const PlaceReturn& aReturn);

  // Takes back places whose holders have died; refuses what is overdue.
  void Sweep();
  // Models with requests waiting or in flight.
  size_t Busy() const;

private:
  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, ModelGroup> mGroups; // by model and version
  };
  static constexpr size_t kShards = 16;

  Shard& ShardFor(const std::string& aKey);
  void Pump(ModelGroup& aGroup, TimePoint aNow);
  bool Give(ModelGroup& aGroup, ModelServing& aServing, TimePoint aNow);
  void StartLoad(const std::string& aKey,
                 ModelGroup& aGroup,
                 const ModelSpec& aModel,
                 TimePoint aUntil);
  void LoadJob(const std::string& aKey,
               const ModelSpec& aModel,
               TimePoint aUntil);
  Result<void> ReadyAdapter(Shard& aShard,
                            const std::string& aKey,
                            const EndpointSpec& aEndpoint,
                            const std::string& aAdapter,
                            TimePoint aUntil);

  ConfigHolder& mConfig;
  Loader& mLoader;
  WorkerPool& mWorkers;
  const Clock& mClock;
  std::array<Shard, kShards> mShards;
  std::atomic<uint64_t> mNextId{ 1 };
};

} // namespace caraway

#endif
