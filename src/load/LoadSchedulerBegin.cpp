#include "load/LoadScheduler.h"

#include <algorithm>

namespace caraway {

namespace {

// Loading an adapter takes a few milliseconds and a time proportional to its
// size.
constexpr Millis kAdapterBaseTime{ 4 };
constexpr double kAdapterMbPerMs = 5.0;

// Whether the load can begin on any of the free servers, without a plan of what
// to evict there.
bool
MayBegin(const LoadRequest& aRequest,
         const std::vector<const Backend*>& aFree,
         const PlacementFacts& aFacts)
{
  return std::any_of(aFree.begin(), aFree.end(), [&](const Backend* aBackend) {
    return !aBackend->Holds(aRequest.mModel, "") &&
           aRequest.Fits(aBackend->mEntry.mVersion) &&
           (aFacts.mStoreWait <= Millis(0) ||
            SourceOf(*aBackend, aRequest.mModel) != WeightSource::Store);
  });
}

} // namespace

// Makes a load request a job: chooses the server and the orders to send to it.

// Whether the load of aJob, once it ends, serves aRequest too.
bool
LoadScheduler::Serves(const Job& aJob, const LoadRequest& aRequest) const
{
  if (aJob.mRequest.mModel != aRequest.mModel ||
      aJob.mRequest.mService != aRequest.mService) {
    return false;
  }
  auto server = mState.mServers.All().find(aJob.mServer);
  return server != mState.mServers.All().end() &&
         aRequest.Fits(server->second.mEntry.mVersion);
}

// Returns true when the request need not stay queued.
bool
LoadScheduler::TryStartModel(const PendingLoad& aPending,
                             const LoadPatience& aPatience,
                             const FreeServers& aFree,
                             PlacementFacts& aFacts)
{
  const LoadRequest& request = aPending.mRequest;
  const EngineSpec* engine = EngineOf(request.mService);
  if (!engine) {
    return true;
  }
  for (const auto& [server, job] : mJobs) {
    if (Serves(job, request)) {
      // The model is being loaded already; its adapters wait for that.
      return request.mAdapter.empty() ||
             request.mAdapter == job.mRequest.mAdapter;
    }
  }
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mZone != mZone ||
        backend.mEntry.mService != request.mService ||
        backend.mEntry.mDraining || backend.mRateLimit ||
        !backend.Holds(request.mModel, "") ||
        !request.Fits(backend.mEntry.mVersion)) {
      continue;
    }
    if (!request.mAdapter.empty()) {
      return TryStartAdapter(request);
    }
    if (aPatience.mPurpose == LoadPurpose::Zone) {
      return true; // the zone has a replica by now
    }
    if (!request.mExtraReplica) {
      // The requesting instance has not received the server's content yet, or
      // the server answered that it does not hold the model.
      mInventories.Recheck(id);
      return true;
    }
  }
  mStoreLoads.SetLimits(engine->mLoadsPerSecond,
                        mState.mSettings.mZones.size(),
                        ServersInZone(request.mService));
  aFacts.mStoreWait = mStoreLoads.Wait(mState.Now());
  if (!MayBegin(request, aFree, aFacts)) {
    return false;
  }
  auto choice = ChoosePlacement(*engine,
                                request.mModel,
                                mState.mServers,
                                aFacts,
                                request.mVersion,
                                aPatience);
  if (!choice && aPatience.mPurpose == LoadPurpose::Zone) {
    return false; // nobody waits for it
  }
  if (!choice) {
    mState.mLog.Line("place_none")
      .Text("model", request.mModel)
      .Count("jobs", static_cast<int64_t>(mJobs.size()));
    return false;
  }
  if (choice->mWait > Millis(0)) {
    return false;
  }
  Job job;
  job.mRequest = request;
  job.mRequest.mAdapter.clear();
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
  load.mModel = request.mModel;
  job.mSteps.push_back(load);
  aFacts.mBusy[job.mServer] = choice->TotalTime();
  SendClaim(request, true, choice->TotalTime());
  StartJob(std::move(job));
  return request.mAdapter.empty();
}

bool
LoadScheduler::TryStartAdapter(const LoadRequest& aRequest)
{
  const EngineSpec* engine = EngineOf(aRequest.mService);
  TimePoint now = mState.Now();
  Backend* best = nullptr;
  size_t bestCount = 0;
  for (auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mZone != mZone ||
        backend.mEntry.mService != aRequest.mService ||
        backend.mEntry.mDraining || backend.mRateLimit ||
        !backend.Holds(aRequest.mModel, "") ||
        !aRequest.Fits(backend.mEntry.mVersion) || mJobs.count(id) ||
        !mInventories.CanTakeOrder(id) ||
        now < std::max(backend.mAvoidUntil, backend.mAddressReusedUntil)) {
      continue;
    }
    if (backend.Holds(aRequest.mModel, aRequest.mAdapter)) {
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
  job.mRequest = aRequest;
  job.mServer = best->mEntry.mId;
  job.mSource = WeightSource::Memory;
  double mb = engine->mModels.count(aRequest.mModel)
                ? engine->mModels.at(aRequest.mModel).mAdapterMb
                : 0;
  job.mLoad =
    kAdapterBaseTime + Millis(static_cast<int64_t>(mb / kAdapterMbPerMs));
  RoomUse late =
    mInventories.Of(job.mServer).RoomForLateOrders(*engine, 1, now);
  if (static_cast<int>(bestCount) + late.mAdapters >= engine->mAdapterSlots) {
    auto eviction = LeastDemandedAdapter(*best);
    if (!eviction) {
      return false;
    }
    job.mSteps.push_back(*eviction);
  }
  ModelOrder load;
  load.mModel = aRequest.mModel;
  load.mAdapter = aRequest.mAdapter;
  job.mSteps.push_back(load);
  if (!mInventories.Of(job.mServer).Fits(*engine, job.mSteps.front(), now)) {
    return false; // until no order from before a restart can come any more
  }
  StartJob(std::move(job));
  return true;
}

// Returns the order that unloads the least requested idle adapter, or nothing
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
