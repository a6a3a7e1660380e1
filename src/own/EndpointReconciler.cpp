#include "own/EndpointReconciler.h"

#include "base/EraseIf.h"
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
EndpointReconciler::ReconcileAll()
{
  ConfigPtr config = mConfig.Current();
  const InstanceInfo& self = mMembers.Self();
  std::map<std::string, EngineState> next;
  for (const auto& entry : config->mEndpoints) {
    const EndpointSpec& endpoint = entry.second;
    bool isOwner = endpoint.mKind == EndpointKind::Engine &&
                   endpoint.mZone == self.mZone &&
                   mMembers.Owner("endpoint/" + endpoint.mName).mId == self.mId;
    if (!isOwner) {
      continue;
    }
    EngineState state;
    auto known = mEngineStates.find(endpoint.mName);
    if (known != mEngineStates.end()) {
      state = std::move(known->second);
    }
    Reconcile(endpoint, state);
    next[endpoint.mName] = std::move(state);
  }
  mEngineStates = std::move(next);
}

void
EndpointReconciler::Reconcile(const EndpointSpec& aEndpoint,
                              EngineState& aState)
{
  TimePoint now = mClock.Now();
  // The record is read before the report: only a report younger than the record
  // can show that one of its replicas is gone.
  if (aState.mReadAt == TimePoint{} ||
      now - aState.mReadAt > mSettings.mRereadInterval) {
    auto read = Outcome([&] { return mStore.Read(aEndpoint); });
    if (std::holds_alternative<Failure>(read)) {
      return;
    }
    aState.mStored = std::get<StoredPlacement>(read);
    aState.mReadAt = now;
  }
  auto report = Outcome([&] { return mEngines.Report(aEndpoint.mAddress); });
  if (auto* fresh = std::get_if<EngineReport>(&report)) {
    if (ApplyReport(aEndpoint, aState, *fresh, now)) {
      Resend(aEndpoint, aState, now);
    }
  }
  ForgetOldOrders(aState);
}

EndpointReconciler::OrderTimes&
EndpointReconciler::TimesOf(EngineState& aState,
                            const PlacedReplica& aReplica,
                            TimePoint aNow)
{
  OrderTimes seenNow{ aNow };
  return aState.mOrders.emplace(OrderStateKey(aReplica), seenNow).first->second;
}

// Each decision, state and fencing token has a key of its own.
void
EndpointReconciler::ForgetOldOrders(EngineState& aState)
{
  std::set<std::string> current;
  const PlacementRecord& record = aState.mStored.mRecord;
  for (const auto* replicas : { &record.mReplicas, &record.mDeparted }) {
    for (const PlacedReplica& replica : *replicas) {
      current.insert(OrderStateKey(replica));
    }
  }
  EraseIf(aState.mOrders, [&current](const auto& aOrder) {
    return current.count(aOrder.first) == 0;
  });
}

size_t
EndpointReconciler::OrdersRemembered() const
{
  size_t orders = 0;
  for (const auto& [name, state] : mEngineStates) {
    orders += state.mOrders.size();
  }
  return orders;
}

// Decisions whose replica was first seen in its present state, other than
// Loading, longer ago than any of its load orders can be on its way.
std::set<std::string>
EndpointReconciler::Expired(EngineState& aState, TimePoint aNow) const
{
  std::set<std::string> expired;
  const PlacementRecord& record = aState.mStored.mRecord;
  for (const auto* replicas : { &record.mReplicas, &record.mDeparted }) {
    for (const PlacedReplica& replica : *replicas) {
      if (replica.mState != ReplicaState::Loading &&
          aNow - TimesOf(aState, replica, aNow).mFirstSeen >
            mSettings.mMaxOrderDelay) {
        expired.insert(replica.mDecision);
      }
    }
  }
  return expired;
}

// False when another instance has changed the record since it was read.
bool
EndpointReconciler::ApplyReport(const EndpointSpec& aEndpoint,
                                EngineState& aState,
                                const EngineReport& aReport,
                                TimePoint aNow)
{
  PlacementRecord next = aState.mStored.mRecord;
  bool changed = PlacementObserve(next, aReport, Expired(aState, aNow));
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
  WriteOutcome outcome = mStore.Replace(aEndpoint, aState.mStored, next);
  if (outcome == WriteOutcome::Done) {
    aState.mReadAt = aNow;
    return true;
  }
  aState.mReadAt = TimePoint{};
  return false;
}

void
EndpointReconciler::Resend(const EndpointSpec& aEndpoint,
                           EngineState& aState,
                           TimePoint aNow)
{
  std::vector<PlacedReplica> replicas = aState.mStored.mRecord.mReplicas;
  for (const PlacedReplica& replica : replicas) {
    if (replica.mState == ReplicaState::Ready) {
      continue;
    }
    // At first the decider itself sends and resends the load order.
    Millis grace = replica.mState == ReplicaState::Loading
                     ? mSettings.mResendInterval
                     : Millis(0);
    OrderTimes& times = TimesOf(aState, replica, aNow);
    if (aNow - times.mFirstSeen < grace) {
      continue;
    }
    if (times.mLastSent != TimePoint{} &&
        aNow - times.mLastSent < mSettings.mResendInterval) {
      continue;
    }
    times.mLastSent = aNow;
    if (replica.mState == ReplicaState::Unloading) {
      mEngines.Unload(aEndpoint.mAddress, replica);
    } else {
      mLoader.ResendLoad(aEndpoint, aState.mStored, replica.mDecision);
    }
  }
}

} // namespace caraway
