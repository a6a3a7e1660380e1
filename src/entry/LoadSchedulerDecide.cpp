#include "entry/LoadScheduler.h"

#include <algorithm>

namespace caraway {

namespace {

// Requests a second. Below this rate one replica in the fleet is enough.
constexpr double kMinReplicaRate = 0.2;

// A model claimed by another zone is loaded here only if that is faster by this
// margin: waiting times estimated from a queue are rough, and loading a model
// twice costs a second of one server.
constexpr Millis kMinTimeSaved{ 300 };

// Lower bound of the waiting times that are reported to instances.
constexpr Millis kMinEstimate{ 20 };

// Demand and replicas are recounted at this interval: they change over seconds,
// and counting visits every server and model of the fleet.
constexpr Millis kFactsMaxAge{ 100 };

// Expected time until a server with unknown content has answered a request for
// a report.
constexpr Millis kReportEstimate{ 50 };

// Queued requests are reconsidered on every change, and at this interval
// because some conditions depend on time alone.
constexpr Millis kMaxScheduleGap{ 100 };

// Time for which the callers of aRequest can wait; nothing for a replica that
// none waits for.
std::optional<Millis>
TimeLeftOf(const LoadRequest& aRequest)
{
  return aRequest.mExtraReplica ? std::nullopt
                                : std::optional<Millis>(aRequest.mLeft);
}

LoadPurpose
PurposeOfReplica(ReplicaNeed aNeed, const UrgentRates& aUrgent)
{
  if (aNeed == ReplicaNeed::Zone) {
    return LoadPurpose::Zone;
  }
  return aUrgent.mFleet >= kMinReplicaRate ? LoadPurpose::Capacity
                                           : LoadPurpose::Patient;
}

} // namespace

// Decisions of the lease holder: which load requests start, on which server,
// and which models get another replica.

Json::Value
LoadScheduler::OnLoadRequest(const LoadRequest& aRequest)
{
  Json::Value result(Json::objectValue);
  if (!mLease.Holds() || !EngineOf(aRequest.mService)) {
    result["none"] = "not the holder";
    return result;
  }
  if (Evacuated()) {
    result["none"] = "zone evacuated";
    return result;
  }
  TimePoint now = mState.Now();
  if (auto left = ExpectedFromOtherZone(aRequest)) {
    result["expected_ms"] = Json::Int64(left->count());
    return result;
  }
  auto [at, added] = mQueue.try_emplace(KeyOf(aRequest));
  PendingLoad& queued = at->second;
  if (added) {
    queued = { aRequest, QueuedLoad(now) };
  }
  queued.mRequest.mPriority =
    std::min(queued.mRequest.mPriority, aRequest.mPriority);
  if (aRequest.mPurpose < queued.mRequest.mPurpose) {
    queued.mRequest.mPurpose = aRequest.mPurpose;
    mScheduleDue = true;
  }
  queued.mRequest.mZoneBound =
    queued.mRequest.mZoneBound || aRequest.mZoneBound;
  queued.mQueued.OnAsked(TimeLeftOf(aRequest), now);
  if (added) {
    mScheduleDue = true;
    ScheduleQueued();
  }
  if (auto expected = Estimate(aRequest)) {
    result["expected_ms"] = Json::Int64(expected->count());
    NoteExpected(aRequest, *expected);
    if (added && mQueue.count(KeyOf(aRequest))) {
      SendClaim(aRequest, false, *expected);
    }
  }
  return result;
}

// Callers that can't wait for aExpected are refused until then. The load, and
// the model once it is loaded, are kept for their return.
void
LoadScheduler::NoteExpected(const LoadRequest& aRequest, Millis aExpected)
{
  TimePoint now = mState.Now();
  std::optional<Millis> left = TimeLeftOf(aRequest);
  auto queued = mQueue.find(KeyOf(aRequest));
  if (queued != mQueue.end()) {
    queued->second.mQueued.OnExpected(aExpected, left, now);
    return;
  }
  for (auto& [server, job] : mJobs) {
    if (Serves(job, aRequest)) {
      job.mReturnBy = std::max(job.mReturnBy, ReturnTime(aExpected, left, now));
    }
  }
}

// Returns in how long another zone is expected to have loaded aRequest; nothing
// when no other zone claims it, or when this zone is faster by kMinTimeSaved.
std::optional<Millis>
LoadScheduler::ExpectedFromOtherZone(const LoadRequest& aRequest)
{
  TimePoint now = mState.Now();
  bool needed = aRequest.mExtraReplica || aRequest.mZoneBound;
  auto elsewhere = needed || !aRequest.mAdapter.empty()
                     ? std::nullopt
                     : mClaims.ExpectedFromOtherZone(ClaimOf(aRequest), now);
  if (!elsewhere) {
    return std::nullopt;
  }
  auto left = std::max(std::chrono::duration_cast<Millis>(*elsewhere - now),
                       kMinEstimate);
  auto here = Estimate(aRequest);
  return here && *here + kMinTimeSaved < left ? std::nullopt
                                              : std::optional(left);
}

std::optional<Millis>
LoadScheduler::Estimate(const LoadRequest& aRequest)
{
  TimePoint now = mState.Now();
  for (const auto& [server, job] : mJobs) {
    if (Serves(job, aRequest)) {
      auto left = std::chrono::duration_cast<Millis>(job.mExpected - now);
      return std::max(left, kMinEstimate);
    }
  }
  const EngineSpec* engine = EngineOf(aRequest.mService);
  auto choice = ChoosePlacement(*engine,
                                aRequest.mModel,
                                mState.mServers,
                                FactsFor(aRequest.mService),
                                aRequest.mVersion,
                                PatienceOf(aRequest.mPurpose, aRequest.mLeft));
  if (!choice) {
    return std::nullopt;
  }
  return choice->TotalTime();
}

PlacementFacts&
LoadScheduler::FactsFor(const std::string& aService)
{
  TimePoint now = mState.Now();
  auto& [countedAt, facts] = mFacts[aService];
  if (now - countedAt >= kFactsMaxAge) {
    countedAt = now;
    facts.mService = aService;
    facts.mZone = mZone;
    facts.mRates = mState.mDemand.Rates(now);
    facts.mReplicas =
      CountReplicas(mState.mServers, mState.mEvacuations.Zones());
    CountUrgent(aService, facts);
    facts.mLateOrders = mInventories.RoomForLateOrders(aService);
  }
  facts.mBusy.clear();
  facts.mAvoid.clear();
  facts.mRecentlyLoaded.clear();
  for (const auto& [server, job] : mJobs) {
    auto left = std::chrono::duration_cast<Millis>(job.mExpected - now);
    facts.mBusy[server] = std::max(left, Millis(50));
  }
  for (const auto& [id, backend] : mState.mServers.All()) {
    // A server in need that has named a rate limit gets no new work.
    if (now < std::max(backend.mAvoidUntil, backend.mAddressReusedUntil) ||
        backend.mRateLimit) {
      facts.mAvoid.insert(id);
    }
    // A report of the server's content has been requested.
    if (backend.mEntry.mZone == facts.mZone && !facts.mBusy.count(id) &&
        backend.mEntry.mService == aService && !mInventories.CanTakeOrder(id)) {
      facts.mBusy[id] = std::max(backend.LoadingFor(now), kReportEstimate);
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

// Where no server reports its pace, the facts that no decision may use stay
// empty.
void
LoadScheduler::CountUrgent(const std::string& aService,
                           PlacementFacts& aFacts) const
{
  aFacts.mKnowsUrgent = mState.mServers.ReportsPace(aService);
  if (aFacts.mKnowsUrgent) {
    aFacts.mUrgent = mState.mDemand.Urgent().Rates(mZone, mState.Now());
    aFacts.mZoneReplicas =
      CountReplicas(mState.mServers, mState.mEvacuations.Zones(), mZone);
  }
}

// Starts the queued requests that can start now, in order of priority.
void
LoadScheduler::ScheduleQueued()
{
  TimePoint now = mState.Now();
  if (!mLease.Holds()) {
    mQueue.clear();
    mClaims.Forget(now);
    return;
  }
  std::vector<PendingLoad*> queue;
  for (auto at = mQueue.begin(); at != mQueue.end();) {
    if (at->second.mQueued.GivenUp(now)) {
      LogDropped(at->second);
      at = mQueue.erase(at);
    } else {
      queue.push_back(&at->second);
      ++at;
    }
  }
  bool due = mScheduleDue || now - mScheduledAt >= kMaxScheduleGap;
  if (!mLease.MayAct() || !due || queue.empty()) {
    return;
  }
  mScheduleDue = false;
  mScheduledAt = now;
  std::vector<std::pair<LoadPriorityKey, PendingLoad*>> ranked;
  for (PendingLoad* queued : queue) {
    ranked.emplace_back(RankLoad(PriorityFactsOf(*queued), now), queued);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Key> started;
  for (const auto& [rank, queued] : ranked) {
    PlacementFacts& facts = FactsFor(queued->mRequest.mService);
    if (AnyServerFree(facts) &&
        TryStartModel(*queued, PatienceFor(*queued, now), facts)) {
      started.push_back(KeyOf(queued->mRequest));
    }
  }
  for (const Key& key : started) {
    mQueue.erase(key);
  }
}

void
LoadScheduler::LogDropped(const PendingLoad& aPending)
{
  const LoadRequest& request = aPending.mRequest;
  mState.mLog.Line("load_dropped")
    .Text("model", request.mModel)
    .Text("adapter", request.mAdapter)
    .Count("priority", request.mPriority)
    .Flag("extra", request.mExtraReplica)
    .Count("queued", static_cast<int64_t>(mQueue.size()))
    .Ms("store_wait_ms", mStoreLoads.Wait(mState.Now()))
    .Ms("asked_ms", mState.AgeOf(aPending.mQueued.AskedAt()))
    .Ms("waited_ms", mState.AgeOf(aPending.mQueued.Since()));
}

size_t
LoadScheduler::Overdue() const
{
  return static_cast<size_t>(
    std::count_if(mQueue.begin(), mQueue.end(), [this](const auto& aEntry) {
      const PendingLoad& pending = aEntry.second;
      return !pending.mRequest.mExtraReplica &&
             pending.mQueued.Overdue(mState.Now());
    }));
}

LoadPatience
LoadScheduler::PatienceFor(const PendingLoad& aPending, TimePoint aNow)
{
  TimePoint needBy = aPending.mQueued.FirstNeedBy().value_or(aNow);
  return PatienceOf(aPending.mRequest.mPurpose,
                    std::chrono::duration_cast<Millis>(needBy - aNow));
}

LoadPriorityFacts
LoadScheduler::PriorityFactsOf(const PendingLoad& aPending) const
{
  TimePoint now = mState.Now();
  LoadPriorityFacts facts;
  facts.mRate = mState.mDemand.Rate(aPending.mRequest.mModel, now);
  facts.mPriority = aPending.mRequest.mPriority;
  // The lowest priority is that of a replica that no request waits for; one
  // that is needed because requests already wait has priority 0.
  facts.mHasWaiters = aPending.mRequest.mPriority < kLowestPriority;
  facts.mSince = aPending.mQueued.Since();
  facts.mLoad = ShortestLoadTime(aPending.mRequest);
  facts.mNeedBy = aPending.mQueued.NeedBy(facts.mLoad, now);
  facts.mPurpose = aPending.mRequest.mPurpose;
  // The first patient caller decides while its load can still be in time.
  auto first = aPending.mQueued.FirstNeedBy();
  bool firstOnTime = first && now + facts.mLoad <= *first;
  if (facts.mPurpose == LoadPurpose::Patient && firstOnTime) {
    facts.mNeedBy = std::min(facts.mNeedBy, *first);
  }
  UrgentRates urgent =
    mState.mDemand.Urgent().RatesOf(aPending.mRequest.mModel, mZone, now);
  facts.mUrgentRate = std::max(urgent.mFleet, urgent.mRecent);
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

// Returns whether any server of this zone accepts orders now. Under overload
// none does most of the time, and planning a placement for each queued request
// would use up the instance's share of a core.
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
LoadScheduler::ShortestLoadTime(const LoadRequest& aRequest) const
{
  const EngineSpec* engine = EngineOf(aRequest.mService);
  if (!engine || !aRequest.mAdapter.empty()) {
    return Millis(0);
  }
  auto model = engine->mModels.find(aRequest.mModel);
  if (model == engine->mModels.end()) {
    return Millis(0);
  }
  Millis least = model->second.mLoad;
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mEntry.mService == aRequest.mService &&
        backend.mEntry.mZone == mZone && !backend.mEntry.mDraining &&
        aRequest.Fits(backend.mEntry.mVersion)) {
      least = std::min(
        least, LoadTime(model->second, SourceOf(backend, aRequest.mModel)));
    }
  }
  return least;
}

// Requests more replicas of models whose demand exceeds the capacity of their
// servers, before requests have to wait.
void
LoadScheduler::AddReplicas()
{
  mMissingInZone = 0;
  if (!mLease.MayAct() || !mState.mConfig || Evacuated()) {
    return;
  }
  for (const auto& [name, service] : mState.mConfig->mServices) {
    if (!service.mEngine) {
      continue;
    }
    for (const auto& [model, weights] : service.mEngine->mModels) {
      ReplicaNeed need = AddReplicaOf(name, model, weights);
      mMissingInZone += need == ReplicaNeed::Zone ? 1 : 0;
    }
  }
}

// Does the same sooner for models that have become popular just now.
void
LoadScheduler::AddRisingReplicas()
{
  if (!mLease.MayAct() || !mState.mConfig || Evacuated()) {
    return;
  }
  auto rates = mState.mDemand.Urgent().Rates(mZone, mState.Now());
  for (const auto& [name, service] : mState.mConfig->mServices) {
    if (!service.mEngine || !mState.mServers.ReportsPace(name)) {
      continue;
    }
    for (const auto& [model, urgent] : rates) {
      auto weights = service.mEngine->mModels.find(model);
      if (IsRising(urgent) && weights != service.mEngine->mModels.end() &&
          !IsLoading(name, model)) {
        AddReplicaOf(name, model, weights->second);
      }
    }
  }
}

bool
LoadScheduler::IsLoading(const std::string& aService,
                         const std::string& aModel) const
{
  return std::any_of(mJobs.begin(), mJobs.end(), [&](const auto& aEntry) {
    const LoadRequest& request = aEntry.second.mRequest;
    return request.mService == aService && request.mModel == aModel;
  });
}

ReplicaNeed
LoadScheduler::AddReplicaOf(const std::string& aService,
                            const std::string& aModel,
                            const ModelWeights& aWeights)
{
  double rate = mState.mDemand.Rate(aModel, mState.Now());
  if (rate <= kMinReplicaRate) {
    return ReplicaNeed::None;
  }
  bool knowsUrgent = mState.mServers.ReportsPace(aService);
  UrgentRates urgent =
    knowsUrgent ? mState.mDemand.Urgent().RatesOf(aModel, mZone, mState.Now())
                : UrgentRates();
  ReplicaNeed need = EvaluateReplicaNeed(aService,
                                         aModel,
                                         mState.mServers,
                                         mState.mSettings.mZones,
                                         mZone,
                                         rate,
                                         mState.mEvacuations.Zones(),
                                         urgent,
                                         aWeights.mDisk + kUnloadTime);
  if (need == ReplicaNeed::None) {
    return need;
  }
  LoadRequest request{ aService, aModel, "", kLowestPriority, Millis(0), true };
  request.mPriority = need == ReplicaNeed::Now ? 0 : kLowestPriority;
  if (knowsUrgent) {
    request.mPurpose = PurposeOfReplica(need, urgent);
  }
  OnLoadRequest(request);
  return need;
}

} // namespace caraway
