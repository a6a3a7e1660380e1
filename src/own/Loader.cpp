#include "own/Loader.h"

#include <thread>

#include "base/Log.h"
#include "base/RandomId.h"
#include "decide/PlacementStep.h"
#include "own/AdapterPermit.h"

namespace caraway {

namespace {

// Pause between attempts while no engine has memory for the model.
constexpr Millis kNoMemoryRetry{ 100 };

// A load goes on for this long while the platform gives no answer, which covers
// a restart of the platform or a short loss of the link. Those who wait for the
// load of a longer outage are refused and told when to return.
constexpr Millis kPlatformPatience{ 5000 };
constexpr Millis kPlatformRetry{ 200 };

const PlacedReplica*
FindByDecision(const PlacementRecord& aRecord, const std::string& aDecision)
{
  for (const PlacedReplica& replica : aRecord.mReplicas) {
    if (replica.mDecision == aDecision) {
      return &replica;
    }
  }
  return nullptr;
}

std::vector<EndpointSpec>
EnginesOf(const ConfigSnapshot& aConfig,
          const std::string& aZone,
          const std::optional<std::string>& aSoftware)
{
  std::vector<EndpointSpec> engines;
  for (const auto& endpoint : aConfig.mEndpoints) {
    if (endpoint.second.mKind == EndpointKind::Engine &&
        endpoint.second.mZone == aZone &&
        (!aSoftware || *aSoftware == endpoint.second.mSoftware)) {
      engines.push_back(endpoint.second);
    }
  }
  return engines;
}

bool
AnyReachable(const std::vector<LoadCandidate>& aCandidates)
{
  for (const LoadCandidate& candidate : aCandidates) {
    if (candidate.mReachable) {
      return true;
    }
  }
  return false;
}

} // namespace

Loader::Loader(LoaderSettings aSettings,
               PlacementStore& aStore,
               EngineClient& aEngines,
               const Clock& aClock)
  : mSettings(std::move(aSettings))
  , mStore(aStore)
  , mEngines(aEngines)
  , mClock(aClock)
{
}

std::vector<LoadCandidate>
Loader::Candidates(const std::vector<EndpointSpec>& aEngines,
                   const std::vector<StoredPlacement>& aStored)
{
  std::vector<LoadCandidate> candidates(aEngines.size());
  for (size_t i = 0; i < aEngines.size(); ++i) {
    candidates[i].mRecord = aStored[i].mRecord;
    auto report =
      Outcome([&] { return mEngines.Report(aEngines[i].mAddress); });
    if (auto* fresh = std::get_if<EngineReport>(&report)) {
      candidates[i].mReport = *fresh;
      candidates[i].mReachable = true;
    }
  }
  return candidates;
}

Result<EndpointSpec>
Loader::Ensure(const ConfigSnapshot& aConfig,
               const ModelSpec& aModel,
               const std::optional<std::string>& aSoftware,
               LoadNeed aNeed,
               const LoadPermit::Urgency& aUrgency,
               TimePoint aUntil)
{
  bool optional = aNeed == LoadNeed::Optional;
  LoadPlanParameters parameters = mSettings.mParameters;
  if (optional) {
    parameters.mMinIdle = parameters.mOptionalMinIdle;
  }
  std::vector<EndpointSpec> engines =
    EnginesOf(aConfig, mSettings.mZone, aSoftware);
  LoadPermit permit(mGate, aUrgency);
  TimePoint lastRead = mClock.Now();
  while (mClock.Now() < aUntil) {
    auto read = Outcome([&] { return mStore.ReadZone(engines); });
    if (auto* failure = std::get_if<Failure>(&read)) {
      if (optional || mClock.Now() - lastRead > kPlatformPatience) {
        return Fail(*failure);
      }
      LogInfo("load_waits_for_platform",
              { { "model", aModel.mName }, { "reason", failure->mDetail } });
      std::this_thread::sleep_for(kPlatformRetry);
      continue;
    }
    lastRead = mClock.Now();
    auto& stored = std::get<std::vector<StoredPlacement>>(read);
    std::vector<LoadCandidate> candidates = Candidates(engines, stored);
    if (!AnyReachable(candidates)) {
      return Fail(ErrorKind::NoEndpoint, "no engine in this zone answers");
    }
    LoadPlan plan = LoadPlanChoose(
      candidates, aModel.mName, aModel.mVersion, aModel.mBytes, parameters);
    if (plan.mCandidate < 0 && optional) {
      ++mCounts.mOptionalAbandoned;
      return Fail(ErrorKind::NoCapacity,
                  "too little free memory for an optional replica");
    }
    if (plan.mCandidate < 0) {
      std::this_thread::sleep_for(kNoMemoryRetry);
      continue;
    }
    bool fromStore =
      !plan.mJoin &&
      LoadPlanFromStore(candidates[plan.mCandidate].mReport, aModel.mName);
    if (fromStore && !permit.HasPermit()) {
      // The permit is awaited before the decision, so that no memory is charged
      // for a load that waits. Afterwards the reports are stale and read again.
      permit.Await(aUntil);
      continue;
    }
    const EndpointSpec& chosen = engines[plan.mCandidate];
    StoredPlacement& record = stored[plan.mCandidate];
    bool evicted = true;
    for (const PlacedReplica& replica : plan.mEvict) {
      evicted = evicted && Evict(chosen, record, replica, aUntil);
    }
    if (!evicted) {
      continue;
    }
    auto failure =
      FailureIn([&] { return LoadAt(chosen, record, aModel, permit, aUntil); });
    if (!failure) {
      return chosen;
    }
    LogInfo("load_failed",
            { { "model", aModel.mName },
              { "endpoint", chosen.mName },
              { "reason", failure->mDetail } });
    std::this_thread::sleep_for(mSettings.mPollInterval);
  }
  return Fail(ErrorKind::NoCapacity,
              "no engine loaded the model before the deadline");
}

// The decision is stored before any order is sent. If another instance has
// decided the same load, that decision is carried out.
Result<void>
Loader::LoadAt(const EndpointSpec& aEndpoint,
               StoredPlacement& aStored,
               const ModelSpec& aModel,
               LoadPermit& aPermit,
               TimePoint aUntil)
{
  const PlacedReplica* placed =
    PlacementFind(aStored.mRecord, aModel.mName, aModel.mVersion);
  if (placed) {
    ++mCounts.mJoined;
    return AwaitReady(aEndpoint, aStored, aModel, false, aPermit, aUntil);
  }
  PlacementLoad load{
    aModel.mName, aModel.mVersion, aModel.mBase, aModel.mBytes, RandomId()
  };
  PlacementRecord next = aStored.mRecord;
  if (!PlacementDecideLoad(next, load)) {
    return Fail(ErrorKind::NoCapacity,
                "the model no longer fits into the engine's memory");
  }
  WriteOutcome outcome = mStore.Replace(aEndpoint, aStored, next);
  if (outcome == WriteOutcome::Conflict) {
    return Fail(ErrorKind::NoCapacity,
                "another placement decision was stored first");
  }
  if (outcome != WriteOutcome::Done) {
    return Fail(ErrorKind::PlatformUnavailable,
                "the placement decision could not be stored");
  }
  ++mCounts.mDecided;
  LogInfo("load_decided",
          { { "model", aModel.mName }, { "endpoint", aEndpoint.mName } });
  OrderOutcome sent = SendLoad(aEndpoint, aStored, load.mDecision);
  if (sent == OrderOutcome::Outdated) {
    // The order of a later decision for this engine arrived first.
    sent = ResendLoad(aEndpoint, aStored, load.mDecision);
  }
  return AwaitReady(aEndpoint,
                    aStored,
                    aModel,
                    sent == OrderOutcome::Accepted,
                    aPermit,
                    aUntil);
}

// Last check of the record's age before an order is sent. After a pause the
// decision may have been cancelled, and an engine that ignores fencing would
// load a replica that isn't in the record. For such engines mMaxOrderDelay is
// longer than mMaxRecordAge and the longest network delay together.
OrderOutcome
Loader::SendLoad(const EndpointSpec& aEndpoint,
                 StoredPlacement& aStored,
                 const std::string& aDecision)
{
  const PlacedReplica* replica = FindByDecision(aStored.mRecord, aDecision);
  if (!replica || replica->mState != ReplicaState::Loading) {
    return OrderOutcome::Outdated;
  }
  if (mClock.Now() - aStored.mAsOf > mSettings.mMaxRecordAge) {
    LogInfo("order_too_old", { { "endpoint", aEndpoint.mName } });
    return OrderOutcome::NotSent;
  }
  return mEngines.Load(aEndpoint.mAddress, *replica);
}

OrderOutcome
Loader::ResendLoad(const EndpointSpec& aEndpoint,
                   StoredPlacement& aStored,
                   const std::string& aDecision)
{
  bool stored =
    mStore.Change(aEndpoint, aStored, [&](PlacementRecord& aRecord) {
      return PlacementResend(aRecord, aDecision);
    });
  return stored ? SendLoad(aEndpoint, aStored, aDecision)
                : OrderOutcome::NotSent;
}

Result<void>
Loader::AwaitReady(const EndpointSpec& aEndpoint,
                   StoredPlacement& aStored,
                   const ModelSpec& aModel,
                   bool aOrdered,
                   LoadPermit& aPermit,
                   TimePoint aUntil)
{
  constexpr Millis kResendInterval{ 1000 };
  TimePoint lastSent = aOrdered ? mClock.Now() : TimePoint{};
  bool singleOrder = aOrdered;
  while (mClock.Now() < aUntil) {
    aPermit.Renew();
    auto report = Outcome([&] { return mEngines.Report(aEndpoint.mAddress); });
    bool seen = false;
    if (auto* fresh = std::get_if<EngineReport>(&report)) {
      for (const EngineReplica& replica : fresh->mReplicas) {
        if (replica.mName != aModel.mName ||
            replica.mVersion != aModel.mVersion) {
          continue;
        }
        seen = true;
        if (!replica.mReady) {
          continue;
        }
        // Only one attempt to store: after a conflict the report is older than
        // the record. The reconciler then records the replica as ready.
        PlacementRecord next = aStored.mRecord;
        const PlacedReplica* placed =
          PlacementFind(next, aModel.mName, aModel.mVersion);
        if (placed && singleOrder) {
          PlacementAcknowledge(next, placed->mDecision);
        }
        if (PlacementObserve(next, *fresh)) {
          mStore.Replace(aEndpoint, aStored, next);
        }
        return {};
      }
    }
    if (!seen && mClock.Now() - lastSent > kResendInterval) {
      // The order, sent here or by a decider that died, hasn't arrived. The
      // engine treats a second copy as the same order.
      BOOST_LEAF_AUTO(reread, mStore.Read(aEndpoint));
      aStored = reread;
      const PlacedReplica* placed =
        PlacementFind(aStored.mRecord, aModel.mName, aModel.mVersion);
      if (!placed || placed->mState == ReplicaState::Unloading) {
        return Fail(ErrorKind::NoCapacity,
                    "the load was cancelled by another decision");
      }
      if (placed->mState == ReplicaState::Loading) {
        singleOrder = false; // a second copy may be in flight from here on
        ResendLoad(aEndpoint, aStored, placed->mDecision);
      }
      lastSent = mClock.Now();
    }
    std::this_thread::sleep_for(mSettings.mPollInterval);
  }
  return Fail(ErrorKind::NoCapacity,
              "model load did not finish before the deadline");
}

bool
Loader::Evict(const EndpointSpec& aEndpoint,
              StoredPlacement& aStored,
              const PlacedReplica& aReplica,
              TimePoint aUntil)
{
  bool decided =
    mStore.Change(aEndpoint, aStored, [&](PlacementRecord& aRecord) {
      return PlacementDecideUnload(aRecord, aReplica.mName, aReplica.mVersion);
    });
  const PlacedReplica* evicting =
    PlacementFind(aStored.mRecord, aReplica.mName, aReplica.mVersion);
  if (!decided || !evicting) {
    return false;
  }
  ++mCounts.mEvicted;
  PlacedReplica order = *evicting;
  while (mClock.Now() < aUntil) {
    mEngines.Unload(aEndpoint.mAddress, order);
    auto report = Outcome([&] { return mEngines.Report(aEndpoint.mAddress); });
    if (auto* fresh = std::get_if<EngineReport>(&report)) {
      PlacementRecord next = aStored.mRecord;
      if (PlacementObserve(next, *fresh)) {
        mStore.Replace(aEndpoint, aStored, next);
      }
      if (!PlacementFind(aStored.mRecord, aReplica.mName, aReplica.mVersion)) {
        return true;
      }
    }
    std::this_thread::sleep_for(mSettings.mPollInterval);
  }
  return false;
}

Result<void>
Loader::EnsureAdapter(const EndpointSpec& aEndpoint,
                      const ModelSpec& aAdapter,
                      TimePoint aUntil)
{
  AdapterPermit permit(mGate, aUntil);
  if (!permit.HasPermit()) {
    return Fail(ErrorKind::NoCapacity,
                "adapter load not admitted in time: too many in progress");
  }
  return LoadAdapter(aEndpoint, aAdapter, aUntil);
}

Result<void>
Loader::LoadAdapter(const EndpointSpec& aEndpoint,
                    const ModelSpec& aAdapter,
                    TimePoint aUntil)
{
  LoadPermit noPermit(nullptr, nullptr);
  while (mClock.Now() < aUntil) {
    BOOST_LEAF_AUTO(stored, mStore.Read(aEndpoint));
    auto failure = FailureIn(
      [&] { return LoadAt(aEndpoint, stored, aAdapter, noPermit, aUntil); });
    if (!failure) {
      return {};
    }
    std::this_thread::sleep_for(mSettings.mPollInterval);
  }
  return Fail(ErrorKind::NoCapacity,
              "adapter load did not finish before the deadline");
}

} // namespace caraway
