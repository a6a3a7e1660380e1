#include "entry/LoadScheduler.h"

#include <algorithm>

namespace caraway {

namespace {

// A queued request that no instance has repeated for this long is dropped.
constexpr Millis kForgetWant{ 1500 };

// Requests a second. Below this rate one replica in the fleet is enough.
constexpr double kNoReplicaRate = 0.2;

// A model claimed by another zone is loaded here only when that is faster by
// this margin: estimates of a queue are rough, and loading a model twice costs
// a second of one server.
constexpr Millis kSooner{ 300 };

// Lower bound of the waiting times that are reported to instances.
constexpr Millis kSoon{ 20 };

// Demand and replicas are recounted at this interval: they change over seconds,
// and counting visits every server and model of the fleet.
constexpr Millis kFactsAge{ 100 };

// Estimated time until a server with unknown content has sent its report.
constexpr Millis kReport{ 50 };

// Waiting requests are reconsidered on every change, and at this interval for
// what depends on time alone.
constexpr Millis kPumpAnyway{ 100 };

} // namespace

// Decisions of the lease holder: which load requests start, on which server,
// and which models get another replica.

Json::Value
LoadScheduler::OnLoadRequest(const LoadRequest& aWant)
{
  Json::Value result(Json::objectValue);
  if (!mLease.Holds() || !EngineOf(aWant.mService)) {
    result["none"] = "not the holder";
    return result;
  }
  TimePoint now = mState.Now();
  if (auto left = ExpectedFromOtherZone(aWant)) {
    result["expected_ms"] = Json::Int64(left->count());
    return result;
  }
  auto [at, added] = mQueue.try_emplace(KeyOf(aWant));
  Queued& queued = at->second;
  if (added) {
    queued.mWant = aWant;
    queued.mSince = now;
  }
  queued.mWant.mPriority = std::min(queued.mWant.mPriority, aWant.mPriority);
  queued.mAskedAt = now;
  queued.mNeedBy = std::max(queued.mNeedBy, now + aWant.mLeft);
  if (added) {
    mScheduleDue = true;
    Pump();
  }
  if (auto expected = Estimate(aWant)) {
    result["expected_ms"] = Json::Int64(expected->count());
    if (added && mQueue.count(KeyOf(aWant))) {
      SendClaim(aWant, false, *expected);
    }
  }
  return result;
}

// Returns in how long another zone is expected to have loaded aWant; nothing
// when no other zone claims it, or when this zone is faster by kSooner.
std::optional<Millis>
LoadScheduler::ExpectedFromOtherZone(const LoadRequest& aWant)
{
  TimePoint now = mState.Now();
  auto elsewhere = aWant.mMore || !aWant.mAdapter.empty()
                     ? std::nullopt
                     : mClaims.Elsewhere(aWant.mModel, now);
  if (!elsewhere) {
    return std::nullopt;
  }
  auto left =
    std::max(std::chrono::duration_cast<Millis>(*elsewhere - now), kSoon);
  auto here = Estimate(aWant);
  return here && *here + kSooner < left ? std::nullopt : std::optional(left);
}

std::optional<Millis>
LoadScheduler::Estimate(const LoadRequest& aWant)
{
  TimePoint now = mState.Now();
  for (const auto& [server, job] : mJobs) {
    if (job.mWant.mModel == aWant.mModel &&
        job.mWant.mService == aWant.mService) {
      auto left = std::chrono::duration_cast<Millis>(job.mExpected - now);
      return std::max(left, kSoon);
    }
  }
  const EngineSpec* engine = EngineOf(aWant.mService);
  auto choice = ChoosePlacement(
    *engine, aWant.mModel, mState.mServers, FactsFor(aWant.mService));
  if (!choice) {
    return std::nullopt;
  }
  return choice->Whole();
}

PlacementFacts&
LoadScheduler::FactsFor(const std::string& aService)
{
  TimePoint now = mState.Now();
  auto& [countedAt, facts] = mFacts[aService];
  if (now - countedAt >= kFactsAge) {
    countedAt = now;
    facts.mService = aService;
    facts.mZone = mZone;
    facts.mRates = mState.mDemand.Rates(now);
    facts.mReplicas = CountReplicas(mState.mServers);
  }
  facts.mBusy.clear();
  facts.mAvoid.clear();
  facts.mRecentlyLoaded.clear();
  for (const auto& [server, job] : mJobs) {
    auto left = std::chrono::duration_cast<Millis>(job.mExpected - now);
    facts.mBusy[server] = std::max(left, Millis(50));
  }
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (now < std::max(backend.mAvoidUntil, backend.mAddressReusedUntil)) {
      facts.mAvoid.insert(id);
    }
    // The server has been asked for a report of its content.
    if (backend.mEntry.mZone == facts.mZone && !facts.mBusy.count(id) &&
        backend.mEntry.mService == aService && !mInventories.AtRest(id)) {
      facts.mBusy[id] = std::max(backend.LoadingFor(now), kReport);
    }
  }
  for (const auto& [held, until] : mRecentlyLoaded) {
    if (now < until) {
      facts.mRecentlyLoaded.insert(held);
    }
  }
  facts.mStoreWait = mStoreLoads.Wait(now);
  return facts;
}

// Starts the queued requests that can start now, in order of priority.
void
LoadScheduler::Pump()
{
  TimePoint now = mState.Now();
  if (!mLease.Holds()) {
    mQueue.clear();
    mClaims.Forget(now);
    return;
  }
  std::vector<Queued*> queue;
  for (auto at = mQueue.begin(); at != mQueue.end();) {
    if (now - at->second.mAskedAt > kForgetWant) {
      at = mQueue.erase(at);
    } else {
      queue.push_back(&at->second);
      ++at;
    }
  }
  bool due = mScheduleDue || now - mScheduledAt >= kPumpAnyway;
  if (!mLease.MayAct() || !due || queue.empty()) {
    return;
  }
  mScheduleDue = false;
  mScheduledAt = now;
  std::vector<std::pair<LoadPriorityKey, Queued*>> ranked;
  for (Queued* queued : queue) {
    ranked.emplace_back(RankLoad(PriorityFactsOf(*queued), now), queued);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Key> begun;
  for (const auto& [rank, queued] : ranked) {
    PlacementFacts& facts = FactsFor(queued->mWant.mService);
    if (AnyServerFree(facts) && Begin(queued->mWant, facts)) {
      begun.push_back(KeyOf(queued->mWant));
    }
  }
  for (const Key& key : begun) {
    mQueue.erase(key);
  }
}

LoadPriorityFacts
LoadScheduler::PriorityFactsOf(const Queued& aQueued) const
{
  LoadPriorityFacts facts;
  facts.mRate = mState.mDemand.Rate(aQueued.mWant.mModel, mState.Now());
  facts.mPriority = aQueued.mWant.mPriority;
  // The lowest priority is that of a replica that no request waits for.
  facts.mAsked = aQueued.mWant.mPriority < kLowestPriority;
  facts.mSince = aQueued.mSince;
  facts.mNeedBy = aQueued.mNeedBy;
  facts.mLoad = ShortestLoadTime(aQueued.mWant);
  return facts;
}

size_t
LoadScheduler::ServersInZone(const std::string& aService) const
{
  size_t count = 0;
  for (const auto& [id, backend] : mState.mServers.All()) {
    count += backend.mEntry.mService == aService &&
                 backend.mEntry.mZone == mZone && !backend.mEntry.mDraining
               ? 1
               : 0;
  }
  return count;
}

// Some server of this zone accepts orders now. Under overload none does most of
// the time, and planning a placement for each queued request would use up the
// instance's share of a core.
bool
LoadScheduler::AnyServerFree(const PlacementFacts& aFacts) const
{
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService == aFacts.mService &&
        backend.mEntry.mZone == aFacts.mZone && !backend.mEntry.mDraining &&
        !aFacts.mBusy.count(id) && !aFacts.mAvoid.count(id)) {
      return true;
    }
  }
  return false;
}

// The load time from the nearest copy of the weights in this zone, without any
// waiting time.
Millis
LoadScheduler::ShortestLoadTime(const LoadRequest& aWant) const
{
  const EngineSpec* engine = EngineOf(aWant.mService);
  if (!engine || !aWant.mAdapter.empty()) {
    return Millis(0);
  }
  auto model = engine->mModels.find(aWant.mModel);
  if (model == engine->mModels.end()) {
    return Millis(0);
  }
  Millis least = model->second.mLoad;
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService == aWant.mService &&
        backend.mEntry.mZone == mZone && !backend.mEntry.mDraining) {
      least = std::min(
        least, LoadTime(model->second, SourceOf(backend, aWant.mModel)));
    }
  }
  return least;
}

// Requests more replicas of models whose demand exceeds what their servers
// serve well, before requests have to wait.
void
LoadScheduler::AddReplicas()
{
  if (!mLease.MayAct() || !mState.mConfig) {
    return;
  }
  for (const auto& [name, service] : mState.mConfig->mServices) {
    if (!service.mEngine) {
      continue;
    }
    for (const auto& [model, weights] : service.mEngine->mModels) {
      double rate = mState.mDemand.Rate(model, mState.Now());
      if (rate <= kNoReplicaRate) {
        continue;
      }
      ReplicaNeed need = EvaluateReplicaNeed(
        name, model, mState.mServers, mState.mSettings.mZones, mZone, rate);
      if (need != ReplicaNeed::None) {
        LoadRequest want{ name, model, "", kLowestPriority, Millis(0), true };
        want.mPriority = need == ReplicaNeed::Now ? 0 : kLowestPriority;
        OnLoadRequest(want);
      }
    }
  }
}

} // namespace caraway
