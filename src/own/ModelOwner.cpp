#include "own/ModelOwner.h"

#include <algorithm>
#include <functional>

#include "base/Log.h"

namespace caraway {

namespace {

// Share of a new measurement in what is learnt.
constexpr double kLearn = 0.2;

std::string
KeyOf(const ModelSpec& aModel)
{
  return aModel.mName + "|" + aModel.mVersion;
}

ModelServing*
LeastLoaded(ModelGroup& aGroup)
{
  ModelServing* best = nullptr;
  for (ModelServing& serving : aGroup.mServing) {
    bool room = serving.mInFlight < serving.mEndpoint.mSlots;
    if (room && (!best || serving.mInFlight < best->mInFlight)) {
      best = &serving;
    }
  }
  return best;
}

ModelServing*
ServingAt(ModelGroup& aGroup, const std::string& aEndpoint)
{
  for (ModelServing& serving : aGroup.mServing) {
    if (serving.mEndpoint.mName == aEndpoint) {
      return &serving;
    }
  }
  return nullptr;
}

void
RefuseAll(ModelGroup& aGroup, const Failure& aFailure)
{
  for (auto& waiter : aGroup.mWaiters) {
    aGroup.mQueue.Withdraw(waiter.first);
    waiter.second->mRefused = true;
    waiter.second->mFailure = aFailure;
    waiter.second->mWake.notify_one();
  }
  aGroup.mWaiters.clear();
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
{
}

ModelOwner::Shard&
ModelOwner::ShardFor(const std::string& aKey)
{
  return mShards[std::hash<std::string>()(aKey) % kShards];
}

Result<PlaceGrant>
ModelOwner::Acquire(const PlaceRequest& aRequest)
{
  ConfigPtr config = mConfig.Current();
  auto model = config->mModels.find(aRequest.mModel);
  if (model == config->mModels.end()) {
    return Fail(ErrorKind::ProfileUnknown, "no model " + aRequest.mModel);
  }
  std::string key = KeyOf(model->second);
  Shard& shard = ShardFor(key);
  TimePoint arrived = mClock.Now();
  ModelWaiter waiter;
  PlaceGrant grant;
  {
    std::unique_lock<std::mutex> lock(shard.mLock);
    ModelGroup& group = shard.mGroups[key];
    grant.mCold = group.mServing.empty();
    WaitItem item;
    item.mId = mNextId++;
    item.mTenant = aRequest.mTenant;
    item.mClass = aRequest.mClass;
    item.mTokens = aRequest.mTokens;
    item.mArrived = arrived;
    item.mStartBy =
      arrived + (grant.mCold ? aRequest.mColdWithin : aRequest.mStartWithin);
    Millis readyIn(0);
    if (grant.mCold && group.mLoading) {
      Millis passed =
        std::chrono::duration_cast<Millis>(arrived - group.mLoadBegan);
      readyIn = std::max(Millis(0), group.mLoadTime - passed);
    } else if (grant.mCold) {
      readyIn = group.mLoadTime;
    }
    auto refusal = group.mQueue.Offer(item, group.mRate, readyIn, arrived);
    if (refusal) {
      Failure failure = FailureOf(refusal->mKind, "model " + aRequest.mModel);
      failure.mRetryAfter = refusal->mRetryAfter;
      return Fail(failure);
    }
    group.mWaiters[item.mId] = &waiter;
    if (grant.mCold && !group.mLoading) {
      StartLoad(key, group, model->second, item.mStartBy);
    }
    Pump(group, arrived);
    while (!waiter.mGranted && !waiter.mRefused) {
      TimePoint now = mClock.Now();
      if (now >= item.mStartBy) {
        group.mQueue.Withdraw(item.mId);
        group.mWaiters.erase(item.mId);
        Failure failure = FailureOf(ErrorKind::DeadlinePassed,
                                    "waited for model " + aRequest.mModel);
        return Fail(failure);
      }
      waiter.mWake.wait_for(lock, item.mStartBy - now);
    }
    if (waiter.mRefused) {
      return Fail(waiter.mFailure);
    }
    ModelPlace& place = group.mPlaces[waiter.mPlace];
    place.mTakeBack = mClock.Now() + aRequest.mHoldFor;
  }
  if (!aRequest.mAdapter.empty()) {
    auto adapter = Outcome([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(ReadyAdapter(shard,
                                    key,
                                    waiter.mEndpoint,
                                    aRequest.mAdapter,
                                    arrived + aRequest.mColdWithin));
      return true;
    });
    if (auto* failure = std::get_if<Failure>(&adapter)) {
      Return({ waiter.mPlace, 0, false, false });
      return Fail(*failure);
    }
  }
  grant.mPlace = waiter.mPlace;
  grant.mEndpoint = waiter.mEndpoint.mName;
  grant.mAddress = waiter.mEndpoint.mAddress;
  grant.mWaited = std::chrono::duration_cast<Millis>(mClock.Now() - arrived);
  return grant;
}

Result<void>
ModelOwner::ReadyAdapter(Shard& aShard,
                         const std::string& aKey,
                         const EndpointSpec& aEndpoint,
                         const std::string& aAdapter,
                         TimePoint aUntil)
{
  {
    std::lock_guard<std::mutex> lock(aShard.mLock);
    ModelServing* serving = ServingAt(aShard.mGroups[aKey], aEndpoint.mName);
    if (serving && serving->mAdapters.count(aAdapter)) {
      return {};
    }
  }
  ConfigPtr config = mConfig.Current();
  auto adapter = config->mModels.find(aAdapter);
  if (adapter == config->mModels.end()) {
    return Fail(ErrorKind::ProfileUnknown, "no adapter " + aAdapter);
  }
  BOOST_LEAF_CHECK(mLoader.EnsureAdapter(aEndpoint, adapter->second, aUntil));
  std::lock_guard<std::mutex> lock(aShard.mLock);
  ModelServing* serving = ServingAt(aShard.mGroups[aKey], aEndpoint.mName);
  if (serving) {
    serving->mAdapters.insert(aAdapter);
  }
  return {};
}

// One place of each engine is kept from batch work, so that a bulletin finds
// one even when briefings fill the rest.
bool
ModelOwner::Give(ModelGroup& aGroup, ModelServing& aServing, TimePoint aNow)
{
  bool batchFits = aServing.mBatchInFlight < aServing.mEndpoint.mSlots - 1 ||
                   aServing.mEndpoint.mSlots == 1;
  auto item = aGroup.mQueue.Next(
    batchFits ? RequestClass::Batch : RequestClass::Interactive, aNow);
  if (!item) {
    return false;
  }
  auto found = aGroup.mWaiters.find(item->mId);
  if (found == aGroup.mWaiters.end()) {
    return true;
  }
  ModelWaiter& waiter = *found->second;
  aGroup.mWaiters.erase(found);
  ++aServing.mInFlight;
  if (item->mClass == RequestClass::Batch) {
    ++aServing.mBatchInFlight;
  }
  uint64_t id = mNextId++;
  constexpr Seconds kUntilTold{ 600 };
  aGroup.mPlaces[id] = {
    aServing.mEndpoint.mName, item->mClass, aNow, aNow + kUntilTold
  };
  waiter.mPlace = id;
  waiter.mEndpoint = aServing.mEndpoint;
  waiter.mGranted = true;
  waiter.mWake.notify_one();
  return true;
}

void
ModelOwner::Pump(ModelGroup& aGroup, TimePoint aNow)
{
  for (const WaitItem& late : aGroup.mQueue.Expire(aNow)) {
    auto found = aGroup.mWaiters.find(late.mId);
    if (found != aGroup.mWaiters.end()) {
      found->second->mRefused = true;
      found->second->mFailure =
        FailureOf(ErrorKind::DeadlinePassed, "its time passed in the queue");
      found->second->mWake.notify_one();
      aGroup.mWaiters.erase(found);
    }
  }
  while (ModelServing* serving = LeastLoaded(aGroup)) {
    if (!Give(aGroup, *serving, aNow)) {
      return;
    }
  }
}

void
ModelOwner::Return(const PlaceReturn& aReturn)
{
  TimePoint now = mClock.Now();
  for (Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    for (auto& entry : shard.mGroups) {
      ModelGroup& group = entry.second;
      auto found = group.mPlaces.find(aReturn.mPlace);
      if (found == group.mPlaces.end()) {
        continue;
      }
      ModelPlace place = found->second;
      group.mPlaces.erase(found);
      ModelServing* serving = ServingAt(group, place.mEndpoint);
      if (serving) {
        --serving->mInFlight;
        if (place.mClass == RequestClass::Batch) {
          --serving->mBatchInFlight;
        }
      }
      double seconds =
        std::chrono::duration<double>(now - place.mGiven).count();
      if (aReturn.mTokens > 0 && seconds > 0 && serving) {
        double rate = aReturn.mTokens / seconds * serving->mEndpoint.mSlots *
                      static_cast<double>(group.mServing.size());
        group.mRate =
          group.mRate == 0 ? rate : group.mRate + kLearn * (rate - group.mRate);
      }
      if ((aReturn.mGone || aReturn.mFailed) && serving) {
        auto& servings = group.mServing;
        servings.erase(std::remove_if(servings.begin(),
                                      servings.end(),
                                      [&](const ModelServing& aServing) {
                                        return aServing.mEndpoint.mName ==
                                               place.mEndpoint;
                                      }),
                       servings.end());
        if (servings.empty() && !group.mWaiters.empty() && !group.mLoading) {
          ConfigPtr config = mConfig.Current();
          auto model =
            config->mModels.find(entry.first.substr(0, entry.first.find('|')));
          if (model != config->mModels.end()) {
            StartLoad(entry.first, group, model->second, now + Seconds(30));
          }
        }
      }
      Pump(group, now);
      return;
    }
  }
}

void
ModelOwner::StartLoad(const std::string& aKey,
                      ModelGroup& aGroup,
                      const ModelSpec& aModel,
                      TimePoint aUntil)
{
  aGroup.mLoading = true;
  aGroup.mLoadBegan = mClock.Now();
  mWorkers.Submit(
    [this, aKey, aModel, aUntil] { LoadJob(aKey, aModel, aUntil); });
}

void
ModelOwner::LoadJob(const std::string& aKey,
                    const ModelSpec& aModel,
                    TimePoint aUntil)
{
  ConfigPtr config = mConfig.Current();
  auto loaded =
    Outcome([&] { return mLoader.Ensure(*config, aModel, aUntil); });
  Shard& shard = ShardFor(aKey);
  std::lock_guard<std::mutex> lock(shard.mLock);
  ModelGroup& group = shard.mGroups[aKey];
  TimePoint now = mClock.Now();
  group.mLoading = false;
  if (auto* failure = std::get_if<Failure>(&loaded)) {
    LogWarn("model_not_loaded",
            { { "model", aModel.mName }, { "reason", failure->mDetail } });
    RefuseAll(group, *failure);
    return;
  }
  const EndpointSpec& endpoint = std::get<EndpointSpec>(loaded);
  group.mLoadTime = std::chrono::duration_cast<Millis>(now - group.mLoadBegan);
  LogInfo("model_ready",
          { { "model", aModel.mName },
            { "endpoint", endpoint.mName },
            { "ms", std::to_string(group.mLoadTime.count()) } });
  if (!ServingAt(group, endpoint.mName)) {
    ModelServing serving;
    serving.mEndpoint = endpoint;
    group.mServing.push_back(serving);
  }
  Pump(group, now);
}

void
ModelOwner::Sweep()
{
  TimePoint now = mClock.Now();
  std::vector<uint64_t> overdue;
  for (Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    for (auto& entry : shard.mGroups) {
      Pump(entry.second, now);
      for (const auto& place : entry.second.mPlaces) {
        if (place.second.mTakeBack < now) {
          overdue.push_back(place.first);
        }
      }
    }
  }
  for (uint64_t place : overdue) {
    Return({ place, 0, false, false });
  }
}

size_t
ModelOwner::Busy() const
{
  size_t busy = 0;
  for (const Shard& shard : mShards) {
    std::lock_guard<std::mutex> lock(shard.mLock);
    for (const auto& entry : shard.mGroups) {
      bool any =
        !entry.second.mWaiters.empty() || !entry.second.mPlaces.empty();
      busy += any ? 1 : 0;
    }
  }
  return busy;
}

} // namespace caraway
