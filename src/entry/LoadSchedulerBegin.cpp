#include "entry/LoadScheduler.h"

namespace caraway {

namespace {

// Loading an adapter takes a few milliseconds and a time proportional to its
// size.
constexpr Millis kAdapterBase{ 4 };
constexpr double kAdapterMbPerMs = 5.0;

} // namespace

// Turns a load request into a job: chooses the server and lists the orders.

// Returns true when the request need not stay queued.
bool
LoadScheduler::Begin(const LoadRequest& aWant, PlacementFacts& aFacts)
{
  const EngineSpec* engine = EngineOf(aWant.mService);
  if (!engine) {
    return true;
  }
  for (const auto& [server, job] : mJobs) {
    if (job.mWant.mModel == aWant.mModel &&
        job.mWant.mService == aWant.mService) {
      // The model is being loaded already; its adapters wait for that.
      return aWant.mAdapter.empty() || aWant.mAdapter == job.mWant.mAdapter;
    }
  }
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mZone != mZone ||
        backend.mEntry.mService != aWant.mService || backend.mEntry.mDraining ||
        !backend.Holds(aWant.mModel, "")) {
      continue;
    }
    if (!aWant.mAdapter.empty()) {
      return BeginAdapter(aWant);
    }
    if (!aWant.mMore) {
      // The requesting instance has not received the server's content yet, or
      // the server answered that it does not hold the model.
      mInventories.Recheck(id);
      return true;
    }
  }
  mStoreLoads.SetLimits(engine->mLoadsPerSecond,
                        mState.mSettings.mZones.size(),
                        ServersInZone(aWant.mService));
  aFacts.mStoreWait = mStoreLoads.Wait(mState.Now());
  auto choice = ChoosePlacement(*engine, aWant.mModel, mState.mServers, aFacts);
  if (!choice) {
    mState.mLog.Line("place_none")
      .Text("model", aWant.mModel)
      .Count("jobs", static_cast<int64_t>(mJobs.size()));
    return false;
  }
  if (choice->mWait > Millis(0)) {
    return false;
  }
  Job job;
  job.mWant = aWant;
  job.mWant.mAdapter.clear();
  job.mServer = choice->mServer;
  job.mSource = choice->mSource;
  job.mUnload = choice->mUnload;
  job.mLoad = choice->mLoad;
  for (const std::string& model : choice->mEvict) {
    ModelOrder order;
    order.mLoad = false;
    order.mModel = model;
    job.mSteps.push_back(order);
  }
  ModelOrder load;
  load.mModel = aWant.mModel;
  job.mSteps.push_back(load);
  aFacts.mBusy[job.mServer] = choice->Whole();
  SendClaim(aWant, true, choice->Whole());
  StartJob(std::move(job));
  return aWant.mAdapter.empty();
}

bool
LoadScheduler::BeginAdapter(const LoadRequest& aWant)
{
  const EngineSpec* engine = EngineOf(aWant.mService);
  TimePoint now = mState.Now();
  Backend* best = nullptr;
  size_t bestCount = 0;
  for (auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mZone != mZone ||
        backend.mEntry.mService != aWant.mService || backend.mEntry.mDraining ||
        !backend.Holds(aWant.mModel, "") || mJobs.count(id) ||
        !mInventories.AtRest(id) ||
        now < std::max(backend.mAvoidUntil, backend.mAddressReusedUntil)) {
      continue;
    }
    if (backend.Holds(aWant.mModel, aWant.mAdapter)) {
      mInventories.Recheck(id);
      return true;
    }
    size_t count = 0;
    for (const auto& [model, adapters] : backend.mModels) {
      count += adapters.size();
    }
    if (!best || count < bestCount) {
      best = &backend;
      bestCount = count;
    }
  }
  if (!best) {
    return false;
  }
  Job job;
  job.mWant = aWant;
  job.mServer = best->mEntry.mId;
  job.mSource = WeightSource::Memory;
  double mb = engine->mModels.count(aWant.mModel)
                ? engine->mModels.at(aWant.mModel).mAdapterMb
                : 0;
  job.mLoad = kAdapterBase + Millis(static_cast<int64_t>(mb / kAdapterMbPerMs));
  if (static_cast<int>(bestCount) >= engine->mAdapterSlots) {
    auto victim = LeastDemandedAdapter(*best);
    if (!victim) {
      return false;
    }
    job.mSteps.push_back(*victim);
  }
  ModelOrder load;
  load.mModel = aWant.mModel;
  load.mAdapter = aWant.mAdapter;
  job.mSteps.push_back(load);
  StartJob(std::move(job));
  return true;
}

// Returns the order that unloads the least demanded idle adapter; nothing
// while all adapters are in use.
std::optional<ModelOrder>
LoadScheduler::LeastDemandedAdapter(const Backend& aBackend) const
{
  std::optional<ModelOrder> least;
  double leastRate = 0;
  for (const auto& [model, adapters] : aBackend.mModels) {
    for (const std::string& adapter : adapters) {
      std::string name = model + "/" + adapter;
      double rate = mState.mDemand.Rate(name, mState.Now());
      if (aBackend.RequestsInFlight(name) > 0 || (least && rate >= leastRate)) {
        continue;
      }
      ModelOrder order;
      order.mLoad = false;
      order.mModel = model;
      order.mAdapter = adapter;
      least = order;
      leastRate = rate;
    }
  }
  return least;
}

} // namespace caraway
