// ModelOwnerUpkeep.cpp: background work of the owner: loads and clean-up.
#include "own/ModelOwner.h"

#include <algorithm>

#include "base/Log.h"

namespace caraway {

// Drops a replica whose engine no longer has the model or doesn't answer. If
// requests wait and no replica is left, starts a load at once.
void
ModelOwner::DropReplica(Shard& aShard,
                        const HeldEngineSlot& aSlot,
                        TimePoint aNow)
{
  constexpr Seconds kReloadTimeout{ 30 };
  ModelGroup& group = aShard.mGroups[aSlot.mGroup];
  auto& replicas = group.mServingReplicas;
  replicas.erase(std::remove_if(replicas.begin(),
                                replicas.end(),
                                [&](const ServingReplica& aReplica) {
                                  return aReplica.mEndpoint.mName ==
                                         aSlot.mEndpoint;
                                }),
                 replicas.end());
  if (!replicas.empty() || group.mQueue.Size() == 0 || group.mLoading) {
    return;
  }
  ConfigPtr config = mConfig.Current();
  auto model =
    config->mModels.find(aSlot.mGroup.substr(0, aSlot.mGroup.find('|')));
  if (model != config->mModels.end()) {
    StartLoad(aSlot.mGroup,
              group,
              model->second,
              LoadNeed::Required,
              aNow + kReloadTimeout);
  }
}

void
ModelOwner::StartLoad(const std::string& aKey,
                      ModelGroup& aGroup,
                      const ModelSpec& aModel,
                      LoadNeed aNeed,
                      TimePoint aUntil)
{
  aGroup.mLoading = true;
  aGroup.mLoadBegan = mClock.Now();
  mWorkers.Submit([this, aKey, aModel, aNeed, aUntil] {
    RunLoad(aKey, aModel, aNeed, aUntil);
  });
}

void
ModelOwner::OnLoadFailed(const std::string& aKey,
                         const ModelSpec& aModel,
                         LoadNeed aNeed,
                         const Failure& aFailure)
{
  LogWarn("model_not_loaded",
          { { "model", aModel.mName }, { "reason", aFailure.mDetail } });
  Shard& shard = mShards[ShardOf(aKey)];
  std::vector<uint64_t> waiting;
  TimePoint until{};
  for (const auto& waiter : shard.mWaiters) {
    if (waiter.second->mGroup == aKey) {
      waiting.push_back(waiter.first);
      until = std::max(until, waiter.second->mItem.mStartBy);
    }
  }
  if (aNeed == LoadNeed::Optional && !waiting.empty()) {
    // The home zone failed meanwhile, so these requests now need the load.
    StartLoad(aKey, shard.mGroups[aKey], aModel, LoadNeed::Required, until);
    return;
  }
  for (uint64_t ticket : waiting) {
    Refuse(shard, ticket, aFailure);
  }
}

void
ModelOwner::RunLoad(const std::string& aKey,
                    const ModelSpec& aModel,
                    LoadNeed aNeed,
                    TimePoint aUntil)
{
  ConfigPtr config = mConfig.Current();
  Shard& shard = mShards[ShardOf(aKey)];
  auto urgency = [&] {
    std::lock_guard<std::mutex> lock(shard.mLock);
    return shard.mGroups[aKey].mQueue.MostUrgent();
  };
  auto software = [&] {
    std::lock_guard<std::mutex> lock(shard.mLock);
    return shard.mGroups[aKey].mSoftware;
  }();
  auto loaded = Outcome([&] {
    return mLoader.Ensure(*config, aModel, software, aNeed, urgency, aUntil);
  });
  std::lock_guard<std::mutex> lock(shard.mLock);
  ModelGroup& group = shard.mGroups[aKey];
  TimePoint now = mClock.Now();
  group.mLoading = false;
  if (auto* failure = std::get_if<Failure>(&loaded)) {
    OnLoadFailed(aKey, aModel, aNeed, *failure);
    return;
  }
  const EndpointSpec& endpoint = std::get<EndpointSpec>(loaded);
  group.mLoadTime = std::chrono::duration_cast<Millis>(now - group.mLoadBegan);
  LogInfo("model_ready",
          { { "model", aModel.mName },
            { "endpoint", endpoint.mName },
            { "ms", std::to_string(group.mLoadTime.count()) } });
  if (!ModelGroupReplicaAt(group, endpoint.mName)) {
    ServingReplica replica;
    replica.mEndpoint = endpoint;
    group.mServingReplicas.push_back(replica);
  }
  GrantWaiting(shard, aKey, now);
}

// Endpoints that were removed from the configuration, or changed their address
// or software, get no new requests; those in flight go on.
void
ModelOwner::PruneReplicas(const ConfigSnapshot& aConfig)
{
  auto removed = [&](const ServingReplica& aReplica) {
    auto endpoint = aConfig.mEndpoints.find(aReplica.mEndpoint.mName);
    return endpoint == aConfig.mEndpoints.end() ||
           endpoint->second.mAddress != aReplica.mEndpoint.mAddress ||
           endpoint->second.mSoftware != aReplica.mEndpoint.mSoftware;
  };
  for (Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    for (auto& entry : shard.mGroups) {
      auto& replicas = entry.second.mServingReplicas;
      replicas.erase(std::remove_if(replicas.begin(), replicas.end(), removed),
                     replicas.end());
    }
  }
}

void
ModelOwner::Sweep()
{
  ConfigPtr config = mConfig.Current();
  if (config->mRevision != mPrunedRevision) {
    PruneReplicas(*config);
    mPrunedRevision = config->mRevision;
  }
  TimePoint now = mClock.Now();
  mCallEnds.ForgetOld();
  std::vector<uint64_t> overdueSlots;
  for (Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    std::vector<uint64_t> abandoned;
    for (const auto& waiter : shard.mWaiters) {
      if (now - waiter.second->mLastPolled > kPollTimeout) {
        abandoned.push_back(waiter.first);
      }
    }
    for (uint64_t ticket : abandoned) {
      Refuse(shard,
             ticket,
             FailureOf(ErrorKind::NoEndpoint,
                       "request no longer polled by its front instance"));
      shard.mWaiters.erase(ticket);
    }
    for (auto& entry : shard.mGroups) {
      if (entry.second.mQueue.Size() > 0) {
        GrantWaiting(shard, entry.first, now);
      }
    }
    for (const auto& slot : shard.mHeldSlots) {
      if (slot.second.mReclaimAt < now) {
        overdueSlots.push_back(slot.first);
      }
    }
  }
  for (uint64_t slot : overdueSlots) {
    ReleaseSlot({ slot, 0, false, false });
  }
}

size_t
ModelOwner::ActiveRequests() const
{
  size_t busy = 0;
  for (const Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    busy += shard.mWaiters.size() + shard.mHeldSlots.size();
  }
  return busy;
}

} // namespace caraway
