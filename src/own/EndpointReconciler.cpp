#include "own/EndpointReconciler.h"

#include <set>

#include "base/Log.h"
#include "decide/PlacementStep.h"

namespace caraway {

namespace {

std::string
OrderStateKey(const PlacedReplica& aReplica)
{
  return aReplica.mName + "|" + aReplica.mDecision + "|" +
         std::to_string(static_cast<int>(aReplica.mState)) + "|" +
         std::to_string(aReplica.mFencingToken);
}

} // namespace

EndpointReconciler::EndpointReconciler(EndpointReconcilerSettings aSettings,
                                       ConfigHolder& aConfig,
                                       Members& aMembers,
                                       PlacementStore& aStore,
                                       EngineClient& aEngines,
                                       Loader& aLoader,
                                       const Clock& aClock)
  : mSettings(aSettings)
  , mConfig(aConfig)
  , mMembers(aMembers)
  , mStore(aStore)
  , mEngines(aEngines)
  , mLoader(aLoader)
  , mClock(aClock)
{
}

void
EndpointReconciler::Round()
{
  ConfigPtr config = mConfig.Current();
  const InstanceInfo& self = mMembers.Self();
  std::map<std::string, Kept> next;
  for (const auto& entry : config->mEndpoints) {
    const EndpointSpec& endpoint = entry.second;
    bool ours = endpoint.mKind == EndpointKind::Engine &&
                endpoint.mZone == self.mZone &&
                mMembers.Owner("endpoint/" + endpoint.mName).mId == self.mId;
    if (!ours) {
      continue;
    }
    Kept kept;
    auto known = mKept.find(endpoint.mName);
    if (known != mKept.end()) {
      kept = std::move(known->second);
    }
    Keep(endpoint, kept);
    next[endpoint.mName] = std::move(kept);
  }
  mKept = std::move(next);
}

void
EndpointReconciler::Keep(const EndpointSpec& aEndpoint, Kept& aKept)
{
  TimePoint now = mClock.Now();
  // The record first, then the report: only a report younger than the record
  // can say that something in it is gone.
  if (aKept.mRead == TimePoint{} ||
      now - aKept.mRead > mSettings.mRereadInterval) {
    auto read = Outcome([&] { return mStore.Read(aEndpoint); });
    if (std::holds_alternative<Failure>(read)) {
      return;
    }
    aKept.mStored = std::get<StoredPlacement>(read);
    aKept.mRead = now;
  }
  auto report = Outcome([&] { return mEngines.Report(aEndpoint.mAddress); });
  if (auto* fresh = std::get_if<EngineReport>(&report)) {
    if (Change(aEndpoint, aKept, *fresh, now)) {
      Resend(aEndpoint, aKept, now);
    }
  }
}

TimePoint
EndpointReconciler::Since(Kept& aKept,
                          const PlacedReplica& aReplica,
                          TimePoint aNow)
{
  return aKept.mSince.emplace(OrderStateKey(aReplica), aNow).first->second;
}

// False when the record turned out older than another's change.
bool
EndpointReconciler::Change(const EndpointSpec& aEndpoint,
                           Kept& aKept,
                           const EngineReport& aReport,
                           TimePoint aNow)
{
  PlacementRecord next = aKept.mStored.mRecord;
  std::set<std::string> past;
  for (const PlacedReplica& replica : next.mReplicas) {
    if (replica.mState == ReplicaState::Unloading &&
        aNow - Since(aKept, replica, aNow) > mSettings.mMaxOrderDelay) {
      past.insert(replica.mDecision);
    }
  }
  bool changed = PlacementObserve(next, aReport, past);
  for (const EngineReplica& seen : aReport.mReplicas) {
    Millis limit = LoadPlanIdleLimit(
      aReport, seen.mName, mSettings.mIdleLimit, mSettings.mParameters);
    if (seen.mReady && seen.mActive == 0 && seen.mIdle > limit) {
      changed =
        PlacementDecideUnload(next, seen.mName, seen.mVersion) || changed;
    }
  }
  if (!changed) {
    return true;
  }
  WriteOutcome end = mStore.Replace(aEndpoint, aKept.mStored, next);
  if (end == WriteOutcome::Done) {
    aKept.mRead = aNow;
    return true;
  }
  aKept.mRead = TimePoint{};
  return false;
}

void
EndpointReconciler::Resend(const EndpointSpec& aEndpoint,
                           Kept& aKept,
                           TimePoint aNow)
{
  std::vector<PlacedReplica> replicas = aKept.mStored.mRecord.mReplicas;
  for (const PlacedReplica& replica : replicas) {
    if (replica.mState == ReplicaState::Ready) {
      continue;
    }
    // The decider itself is at it during the first moments of a load.
    Millis grace =
      replica.mState == ReplicaState::Loading ? mSettings.mResend : Millis(0);
    if (aNow - Since(aKept, replica, aNow) < grace) {
      continue;
    }
    TimePoint& sent = aKept.mSent[OrderStateKey(replica)];
    if (sent != TimePoint{} && aNow - sent < mSettings.mResend) {
      continue;
    }
    sent = aNow;
    if (replica.mState == ReplicaState::Unloading) {
      mEngines.Unload(aEndpoint.mAddress, replica);
    } else {
      mLoader.ResendLoad(aEndpoint, aKept.mStored, replica.mDecision);
    }
  }
}

} // namespace caraway
