#include "load/LoadScheduler.h"

#include <algorithm>

namespace caraway {

namespace {

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

// Time for which the callers of aRequest can wait; nothing for a replica that
// none waits for.
std::optional<Millis>
TimeLeftOf(const LoadRequest& aRequest)
{
  return aRequest.mExtraReplica ? std::nullopt
                                : std::optional<Millis>(aRequest.mLeft);
}

} // namespace

// Load requests of all instances, and when what they ask for is expected.

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
    queued.mRequest = aRequest;
    queued.mQueued = QueuedLoad(now);
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
  if (auto expected = EstimateQueued(aRequest)) {
    result["expected_ms"] = Json::Int64(expected->count());
    auto still = mQueue.find(KeyOf(aRequest));
    if (still != mQueue.end()) {
      still->second.mQueued.OnExpected(*expected, TimeLeftOf(aRequest), now);
    }
    if (added && still != mQueue.end()) {
      SendClaim(aRequest, false, *expected);
    }
  }
  return result;
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

// Instances ask for the same load several times a second; the estimate of one
// that is queued is kept for as long as the facts are.
std::optional<Millis>
LoadScheduler::EstimateQueued(const LoadRequest& aRequest)
{
  auto queued = mQueue.find(KeyOf(aRequest));
  if (queued == mQueue.end()) {
    return Estimate(aRequest);
  }
  TimePoint now = mState.Now();
  PendingLoad& pending = queued->second;
  if (now - pending.mEstimatedAt >= kFactsMaxAge) {
    auto estimate = Estimate(aRequest);
    pending.mEstimatedAt = now;
    pending.mExpected =
      estimate ? std::optional<TimePoint>(now + *estimate) : std::nullopt;
  }
  if (!pending.mExpected) {
    return std::nullopt;
  }
  return std::max(std::chrono::duration_cast<Millis>(*pending.mExpected - now),
                  kMinEstimate);
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
                                FactsForEstimate(aRequest.mService),
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
  CollectedFacts& collected = mFacts[aService];
  PlacementFacts& facts = collected.mFacts;
  collected.mCollectedAt = now;
  collected.mJobChanges = mJobChanges;
  if (now - collected.mCountedAt >= kFactsMaxAge) {
    collected.mCountedAt = now;
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
  facts.mEvictions = &mEvictions[aService];
  facts.mEvictions->clear();
  return facts;
}

// Facts that know of each load that has begun or ended, and may be kFactsMaxAge
// old otherwise. Estimates are asked for far more often than loads begin.
PlacementFacts&
LoadScheduler::FactsForEstimate(const std::string& aService)
{
  CollectedFacts& collected = mFacts[aService];
  bool recent = collected.mJobChanges == mJobChanges &&
                mState.Now() - collected.mCollectedAt < kFactsMaxAge;
  return recent ? collected.mFacts : FactsFor(aService);
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

} // namespace caraway
