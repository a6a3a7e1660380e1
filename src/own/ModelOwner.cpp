#include "own/ModelOwner.h"

#include <algorithm>
#include <functional>

#include "base/Log.h"

namespace caraway {

namespace {

// Generations that go on at engines of one software version have a group of
// their own.
std::string
KeyOf(const ModelSpec& aModel, const std::optional<std::string>& aSoftware)
{
  std::string key = aModel.mName + "|" + aModel.mVersion;
  return aSoftware ? key + "|" + *aSoftware : key;
}

// The software version that a request needs; nothing while all engines have it.
std::optional<std::string>
NeededSoftware(const EngineSlotRequest& aRequest, const ConfigSnapshot& aConfig)
{
  if (!aRequest.mSoftware) {
    return std::nullopt;
  }
  for (const auto& [name, endpoint] : aConfig.mEndpoints) {
    if (endpoint.mKind == EndpointKind::Engine &&
        endpoint.mSoftware != *aRequest.mSoftware) {
      return aRequest.mSoftware;
    }
  }
  return std::nullopt;
}

} // namespace

ModelOwner::ModelOwner(ConfigHolder& aConfig,
                       Loader& aLoader,
                       WorkerPool& aWorkers,
                       const Clock& aClock)
  : mConfig(aConfig)
  , mLoader(aLoader)
  , mWorkers(aWorkers)
  , mClock(aClock)
  , mCallEnds(aClock)
{
}

size_t
ModelOwner::ShardOf(const std::string& aKey) const
{
  return std::hash<std::string>()(aKey) % kShards;
}

uint64_t
ModelOwner::NextId(size_t aShard)
{
  return mNextId++ * kShards + aShard;
}

std::string
ModelOwner::RedirectZoneFor(const EngineSlotRequest& aRequest,
                            const ModelSpec& aModel,
                            const ConfigSnapshot& aConfig,
                            ModelGroup& aGroup,
                            TimePoint aNow)
{
  constexpr Seconds kBusyLoadTimeout{ 30 };
  if (!mHomes) {
    return "";
  }
  if (aRequest.mZoneSilent) {
    mHomes->MarkSilent(aRequest.mFailedZone);
  }
  if (!aRequest.mFailedZone.empty()) {
    HomeZoneFailed(aGroup.mHome, mHomeZoneParameters, aNow);
  }
  if (aRequest.mNoRedirect) {
    return "";
  }
  HomeZoneView view;
  view.mServing = !aGroup.mServingReplicas.empty();
  view.mWaiting = aGroup.mQueue.Size() > 0;
  std::string home;
  if (!view.mServing && !view.mWaiting) {
    // HomeOf goes through all members, which a warm request can skip.
    home = mHomes->HomeOf(aModel.mName, aConfig);
    view.mIsHome = mHomes->IsOwnZone(home);
  }

  auto action = HomeZoneRoute(aGroup.mHome, view, mHomeZoneParameters, aNow);
  if (action == HomeZoneAction::RemoteAndLoad && !aGroup.mLoading) {
    LogInfo("load_for_busy_zone", { { "model", aModel.mName } });
    StartLoad(KeyOf(aModel, aGroup.mSoftware),
              aGroup,
              aModel,
              LoadNeed::Optional,
              aNow + kBusyLoadTimeout);
  }
  return action == HomeZoneAction::Local ? "" : home;
}

Result<EngineSlotGrant>
ModelOwner::Acquire(const EngineSlotRequest& aRequest)
{
  ConfigPtr config = mConfig.Current();
  auto model = config->mModels.find(aRequest.mModel);
  if (model == config->mModels.end()) {
    return Fail(ErrorKind::ProfileUnknown, "unknown model " + aRequest.mModel);
  }
  auto refusedFor =
    mCallEnds.RefusedFor(CallName(aRequest.mTenant, aRequest.mRequestDigest));
  if (refusedFor) {
    Failure failure =
      FailureOf(ErrorKind::RequestHarmful, "engines end under the call");
    failure.mRetryAfter = *refusedFor;
    return Fail(failure);
  }
  auto software = NeededSoftware(aRequest, *config);
  std::string key = KeyOf(model->second, software);
  size_t index = ShardOf(key);
  Shard& shard = mShards[index];
  TimePoint now = mClock.Now();
  auto waiter = std::make_shared<SlotWaiter>();
  {
    std::lock_guard<std::mutex> lock(shard.mLock);
    ModelGroup& group = shard.mGroups[key];
    group.mSoftware = software;
    EngineSlotGrant redirect;
    redirect.mRedirectZone =
      RedirectZoneFor(aRequest, model->second, *config, group, now);
    if (!redirect.mRedirectZone.empty()) {
      return redirect;
    }
    waiter->mGroup = key;
    waiter->mAdapter = aRequest.mAdapter;
    waiter->mMaxHold = aRequest.mMaxHold;
    waiter->mCold = group.mServingReplicas.empty();
    waiter->mLastPolled = now;
    QueuedRequest& item = waiter->mItem;
    item.mId = NextId(index);
    item.mTenant = aRequest.mTenant;
    item.mClass = aRequest.mClass;
    item.mRequestDigest = aRequest.mRequestDigest;
    item.mTokens = aRequest.mTokens;
    item.mArrived = now;
    item.mStartBy =
      now + (waiter->mCold ? aRequest.mColdWithin : aRequest.mStartWithin);
    auto refusal =
      group.mQueue.Offer(item, group.mRate, ModelGroupReadyIn(group, now), now);
    if (refusal) {
      Failure failure = FailureOf(refusal->mKind, "model " + aRequest.mModel);
      failure.mRetryAfter = refusal->mRetryAfter;
      return Fail(failure);
    }
    shard.mWaiters[item.mId] = waiter;
    if (waiter->mCold && !group.mLoading) {
      StartLoad(key, group, model->second, LoadNeed::Required, item.mStartBy);
    }
    GrantWaiting(shard, key, now);
  }
  return WaitFor(shard, waiter);
}

Result<EngineSlotGrant>
ModelOwner::Await(uint64_t aTicket)
{
  Shard& shard = ShardOfId(aTicket);
  WaiterPtr waiter;
  {
    std::lock_guard<std::mutex> lock(shard.mLock);
    auto found = shard.mWaiters.find(aTicket);
    if (found == shard.mWaiters.end()) {
      return Fail(ErrorKind::NoEndpoint, "the owner no longer has the request");
    }
    waiter = found->second;
    waiter->mLastPolled = mClock.Now();
  }
  return WaitFor(shard, waiter);
}

Result<EngineSlotGrant>
ModelOwner::WaitFor(Shard& aShard, const WaiterPtr& aWaiter)
{
  EngineSlotGrant grant;
  {
    std::unique_lock<std::mutex> lock(aShard.mLock);
    auto resolved = [&] { return aWaiter->mGranted || aWaiter->mRefused; };
    TimePoint now = mClock.Now();
    Millis left =
      std::chrono::duration_cast<Millis>(aWaiter->mItem.mStartBy - now);
    aWaiter->mWake.wait_for(
      lock, std::clamp(left, Millis(0), kMaxPollWait), resolved);
    now = mClock.Now();
    if (!resolved() && now >= aWaiter->mItem.mStartBy) {
      Refuse(aShard,
             aWaiter->mItem.mId,
             FailureOf(ErrorKind::DeadlinePassed,
                       "deadline passed while waiting for an engine slot"));
    }
    if (!resolved()) {
      grant.mTicket = aWaiter->mItem.mId;
      return grant;
    }
    aShard.mWaiters.erase(aWaiter->mItem.mId);
    if (aWaiter->mRefused) {
      return Fail(aWaiter->mFailure);
    }
    auto held = aShard.mHeldSlots.find(aWaiter->mEngineSlotId);
    if (held == aShard.mHeldSlots.end()) {
      return Fail(ErrorKind::NoEndpoint,
                  "the engine slot was reclaimed while its front was silent");
    }
    held->second.mReclaimAt = now + aWaiter->mMaxHold;
  }
  if (!aWaiter->mAdapter.empty()) {
    auto failure = FailureIn([&] {
      return EnsureAdapterLoaded(
        aShard, aWaiter->mGroup, aWaiter->mEndpoint, aWaiter->mAdapter);
    });
    if (failure) {
      ReleaseSlot({ aWaiter->mEngineSlotId, 0, false, false });
      return Fail(*failure);
    }
  }
  grant.mEngineSlotId = aWaiter->mEngineSlotId;
  grant.mEndpoint = aWaiter->mEndpoint.mName;
  grant.mAddress = aWaiter->mEndpoint.mAddress;
  grant.mSoftware = aWaiter->mEndpoint.mSoftware;
  grant.mCold = aWaiter->mCold;
  grant.mWaited =
    std::chrono::duration_cast<Millis>(mClock.Now() - aWaiter->mItem.mArrived);
  return grant;
}

Result<void>
ModelOwner::EnsureAdapterLoaded(Shard& aShard,
                                const std::string& aKey,
                                const EndpointSpec& aEndpoint,
                                const std::string& aAdapter)
{
  constexpr Millis kAdapterTimeout{ 1500 };
  {
    std::lock_guard<std::mutex> lock(aShard.mLock);
    ServingReplica* replica =
      ModelGroupReplicaAt(aShard.mGroups[aKey], aEndpoint.mName);
    if (replica && replica->mAdapters.count(aAdapter)) {
      return {};
    }
  }
  ConfigPtr config = mConfig.Current();
  auto adapter = config->mModels.find(aAdapter);
  if (adapter == config->mModels.end()) {
    return Fail(ErrorKind::ProfileUnknown, "unknown adapter " + aAdapter);
  }
  BOOST_LEAF_CHECK(mLoader.EnsureAdapter(
    aEndpoint, adapter->second, mClock.Now() + kAdapterTimeout));
  std::lock_guard<std::mutex> lock(aShard.mLock);
  ServingReplica* replica =
    ModelGroupReplicaAt(aShard.mGroups[aKey], aEndpoint.mName);
  if (replica) {
    replica->mAdapters.insert(aAdapter);
  }
  return {};
}

bool
ModelOwner::GrantNext(Shard& aShard,
                      const std::string& aKey,
                      ServingReplica& aReplica,
                      TimePoint aNow)
{
  auto item =
    aShard.mGroups[aKey].mQueue.Next(ModelGroupAdmissibleClass(aReplica));
  if (!item) {
    return false;
  }
  auto found = aShard.mWaiters.find(item->mId);
  if (found == aShard.mWaiters.end()) {
    return true;
  }
  SlotWaiter& waiter = *found->second;
  ++aReplica.mInFlight;
  if (item->mClass == RequestClass::Batch) {
    ++aReplica.mBatchInFlight;
  }
  waiter.mEngineSlotId = NextId(ShardOf(aKey));
  aShard.mHeldSlots[waiter.mEngineSlotId] = {
    aKey,
    aReplica.mEndpoint.mName,
    item->mClass,
    aNow,
    aNow + kPollTimeout,
    CallName(item->mTenant, item->mRequestDigest)
  };
  waiter.mEndpoint = aReplica.mEndpoint;
  waiter.mGranted = true;
  waiter.mWake.notify_all();
  return true;
}

void
ModelOwner::Refuse(Shard& aShard, uint64_t aTicket, const Failure& aFailure)
{
  auto found = aShard.mWaiters.find(aTicket);
  if (found == aShard.mWaiters.end() || found->second->mGranted) {
    return;
  }
  SlotWaiter& waiter = *found->second;
  aShard.mGroups[waiter.mGroup].mQueue.Withdraw(aTicket);
  waiter.mRefused = true;
  waiter.mFailure = aFailure;
  waiter.mWake.notify_all();
}

void
ModelOwner::GrantWaiting(Shard& aShard, const std::string& aKey, TimePoint aNow)
{
  ModelGroup& group = aShard.mGroups[aKey];
  for (const QueuedRequest& late : group.mQueue.Expire(aNow)) {
    Refuse(aShard,
           late.mId,
           FailureOf(ErrorKind::DeadlinePassed,
                     "deadline passed while waiting for an engine slot"));
  }
  while (ServingReplica* replica = ModelGroupLeastLoaded(group)) {
    if (!GrantNext(aShard, aKey, *replica, aNow)) {
      return;
    }
  }
}

void
ModelOwner::ReleaseSlot(const EngineSlotRelease& aRelease)
{
  Shard& shard = ShardOfId(aRelease.mEngineSlotId);
  TimePoint now = mClock.Now();
  std::lock_guard<std::mutex> lock(shard.mLock);
  auto found = shard.mHeldSlots.find(aRelease.mEngineSlotId);
  if (found == shard.mHeldSlots.end()) {
    return; // already released or reclaimed
  }
  HeldEngineSlot slot = found->second;
  shard.mHeldSlots.erase(found);
  mCallEnds.OnReleased(slot, aRelease);
  ModelGroup& group = shard.mGroups[slot.mGroup];
  ServingReplica* replica = ModelGroupReplicaAt(group, slot.mEndpoint);
  if (replica) {
    --replica->mInFlight;
    replica->mBatchInFlight -= slot.mClass == RequestClass::Batch ? 1 : 0;
    double seconds =
      std::chrono::duration<double>(now - slot.mGrantedAt).count();
    ModelGroupRecordRate(group, *replica, aRelease.mTokens, seconds);
  }
  if (replica && (aRelease.mModelMissing || aRelease.mFailed)) {
    DropReplica(shard, slot, now);
  }
  GrantWaiting(shard, slot.mGroup, now);
}

} // namespace caraway
