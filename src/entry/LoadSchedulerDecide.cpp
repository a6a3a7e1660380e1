#include "entry/LoadScheduler.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Millis kForgetWant{ 1500 };

// Of a model that is asked for less often one replica is enough anywhere.
constexpr double kNoReplicaRate = 0.2;

// Taken over from another zone's queue only when it comes so much sooner: what
// is told of a queue is a guess, and two loads for one cost a server's second.
constexpr Millis kSooner{ 300 };

// The least that is told to those who wait.
constexpr Millis kSoon{ 20 };

// Demand and replicas are counted anew so often: they change over seconds, and
// counting looks at each server and model of the fleet.
constexpr Millis kFactsAge{ 100 };

// Until a server has told what it holds.
constexpr Millis kReport{ 50 };

// Queued wants are looked at when something changed, and so often for what time
// alone changes.
constexpr Millis kPumpAnyway{ 100 };

} // namespace

// What the holder of a zone decides: which wants begin, where, and which models
// get another replica.

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

// When another zone brings aWant; nothing when this one has to, or does it
// notably sooner.
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
    // What it holds is being asked for.
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

// Begins what can begin now, the most urgent first.
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
  facts.mAsked = aQueued.mWant.mPriority < kLowestPriority; // or all are full
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

// Some server of this zone takes orders now. In an overload none does most of
// the time, and looking for a place for each want would take the instance's
// whole part of a core.
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

// The soonest that a server of this zone has it once it begins.
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

// More replicas of what is asked for more than its servers can carry, before
// requests have to wait.
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
