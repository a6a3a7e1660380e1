// The owner's work that no request waits in: loads, and clearing up.
#include "own/ModelOwner.h"

#include <algorithm>

#include "base/Log.h"

namespace caraway {

// The engine hasn't the model any more, or doesn't answer. If requests wait,
// look at once where it is or can be loaded.
void
ModelOwner::DropReplica(Shard& aShard,
                        const HeldEngineSlot& aPlace,
                        TimePoint aNow)
{
  constexpr Seconds kReload{ 30 };
  ModelGroup& group = aShard.mGroups[aPlace.mGroup];
  auto& servings = group.mServing;
  servings.erase(std::remove_if(servings.begin(),
                                servings.end(),
                                [&](const ServingReplica& aServing) {
                                  return aServing.mEndpoint.mName ==
                                         aPlace.mEndpoint;
                                }),
                 servings.end());
  if (!servings.empty() || group.mQueue.Size() == 0 || group.mLoading) {
    return;
  }
  ConfigPtr config = mConfig.Current();
  auto model =
    config->mModels.find(aPlace.mGroup.substr(0, aPlace.mGroup.find('|')));
  if (model != config->mModels.end()) {
    StartLoad(
      aPlace.mGroup, group, model->second, LoadNeed::Required, aNow + kReload);
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
    LoadJob(aKey, aModel, aNeed, aUntil);
  });
}

void
ModelOwner::LoadFailed(const std::string& aKey,
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
    // The home failed meanwhile, and they wait for us now.
    StartLoad(aKey, shard.mGroups[aKey], aModel, LoadNeed::Required, until);
    return;
  }
  for (uint64_t ticket : waiting) {
    Refuse(shard, ticket, aFailure);
  }
}

void
ModelOwner::LoadJob(const std::string& aKey,
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
  auto loaded = Outcome(
    [&] { return mLoader.Ensure(*config, aModel, aNeed, urgency, aUntil); });
  std::lock_guard<std::mutex> lock(shard.mLock);
  ModelGroup& group = shard.mGroups[aKey];
  TimePoint now = mClock.Now();
  group.mLoading = false;
  if (auto* failure = std::get_if<Failure>(&loaded)) {
    LoadFailed(aKey, aModel, aNeed, *failure);
    return;
  }
  const EndpointSpec& endpoint = std::get<EndpointSpec>(loaded);
  group.mLoadTime = std::chrono::duration_cast<Millis>(now - group.mLoadBegan);
  LogInfo("model_ready",
          { { "model", aModel.mName },
            { "endpoint", endpoint.mName },
            { "ms", std::to_string(group.mLoadTime.count()) } });
  if (!ModelGroupReplicaAt(group, endpoint.mName)) {
    ServingReplica serving;
    serving.mEndpoint = endpoint;
    group.mServing.push_back(serving);
  }
  Pump(shard, aKey, now);
}

// Endpoints that were taken out of the configuration, or moved, get no new
// work; what they are serving goes on.
void
ModelOwner::PruneReplicas(const ConfigSnapshot& aConfig)
{
  auto leaves = [&](const ServingReplica& aServing) {
    auto endpoint = aConfig.mEndpoints.find(aServing.mEndpoint.mName);
    return endpoint == aConfig.mEndpoints.end() ||
           endpoint->second.mAddress != aServing.mEndpoint.mAddress;
  };
  for (Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    for (auto& entry : shard.mGroups) {
      auto& servings = entry.second.mServing;
      servings.erase(std::remove_if(servings.begin(), servings.end(), leaves),
                     servings.end());
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
  std::vector<uint64_t> overdue;
  for (Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    std::vector<uint64_t> silent;
    for (const auto& waiter : shard.mWaiters) {
      if (now - waiter.second->mAsked > kPollTimeout) {
        silent.push_back(waiter.first);
      }
    }
    for (uint64_t ticket : silent) {
      Refuse(shard, ticket, FailureOf(ErrorKind::NoEndpoint, "not asked for"));
      shard.mWaiters.erase(ticket);
    }
    for (auto& entry : shard.mGroups) {
      if (entry.second.mQueue.Size() > 0) {
        Pump(shard, entry.first, now);
      }
    }
    for (const auto& place : shard.mPlaces) {
      if (place.second.mReclaimAt < now) {
        overdue.push_back(place.first);
      }
    }
  }
  for (uint64_t place : overdue) {
    ReleaseSlot({ place, 0, false, false });
  }
}

size_t
ModelOwner::Busy() const
{
  size_t busy = 0;
  for (const Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    busy += shard.mWaiters.size() + shard.mPlaces.size();
  }
  return busy;
}

} // namespace caraway
