#include "decide/PlacementStep.h"

#include <algorithm>

namespace caraway {

namespace {

PlacedReplica*
FindMutable(PlacementRecord& aRecord,
            const std::string& aName,
            const std::string& aVersion)
{
  for (PlacedReplica& replica : aRecord.mReplicas) {
    if (replica.mName == aName && replica.mVersion == aVersion) {
      return &replica;
    }
  }
  return nullptr;
}

const EngineReplica*
FindReported(const EngineReport& aReport, const PlacedReplica& aReplica)
{
  for (const EngineReplica& replica : aReport.mReplicas) {
    if (replica.mName == aReplica.mName &&
        replica.mVersion == aReplica.mVersion) {
      return &replica;
    }
  }
  return nullptr;
}

// Whether no load order of the replica can arrive any more, in any life of the
// engine: the single copy ever sent was answered, or the longest time that an
// order can take has passed.
bool
NothingOnItsWay(const PlacedReplica& aReplica,
                const std::set<std::string>& aExpired)
{
  return aReplica.mAcknowledged || aExpired.count(aReplica.mDecision) != 0;
}

// Whether no load order can bring the replica back. An engine that checks
// fencing refuses every order below the highest token it has accepted, until it
// restarts. One that ignores fencing accepts any copy that still arrives; there
// the replica stays charged, so that one that does come back is in the record.
bool
ProvablyGone(const PlacementRecord& aRecord,
             const PlacedReplica& aReplica,
             const EngineReport& aReport,
             const std::set<std::string>& aExpired)
{
  bool refused = aRecord.mChecksFencing &&
                 aReport.mHighestFencingToken >= aReplica.mFencingToken;
  return refused || NothingOnItsWay(aReplica, aExpired);
}

bool
ObserveReplica(PlacementRecord& aRecord,
               PlacedReplica& aReplica,
               const EngineReport& aReport,
               const std::set<std::string>& aExpired)
{
  const EngineReplica* seen = FindReported(aReport, aReplica);
  if (aReplica.mState == ReplicaState::Loading) {
    if (seen && seen->mReady) {
      aReplica.mState = ReplicaState::Ready;
      return true;
    }
    return false;
  }
  if (aReplica.mState == ReplicaState::Ready && !seen) {
    // The engine lost the replica, for example by a restart. It is unloaded
    // like any other, so that its bytes are reused only once it can't come
    // back.
    aReplica.mState = ReplicaState::Unloading;
    aReplica.mFencingToken = ++aRecord.mFencingToken;
    return true;
  }
  if (aReplica.mState == ReplicaState::Ready && !aReplica.mAcknowledged &&
      aExpired.count(aReplica.mDecision)) {
    aReplica.mAcknowledged = true;
    return true;
  }
  return false;
}

bool
ObserveGone(PlacementRecord& aRecord,
            const EngineReport& aReport,
            const std::set<std::string>& aExpired)
{
  std::vector<PlacedReplica> kept;
  for (const PlacedReplica& replica : aRecord.mReplicas) {
    bool gone = replica.mState == ReplicaState::Unloading &&
                !FindReported(aReport, replica) &&
                ProvablyGone(aRecord, replica, aReport, aExpired);
    if (!gone) {
      kept.push_back(replica);
    } else if (!NothingOnItsWay(replica, aExpired)) {
      aRecord.mDeparted.push_back(replica);
    }
  }
  bool changed = kept.size() != aRecord.mReplicas.size();
  aRecord.mReplicas = std::move(kept);
  return changed;
}

// Charges departed replicas again that the engine holds or, since it restarted,
// would accept. Their unload orders, with tokens of their own, raise its fence
// again.
bool
ObserveDeparted(PlacementRecord& aRecord,
                const EngineReport& aReport,
                const std::set<std::string>& aExpired)
{
  bool changed = false;
  std::vector<PlacedReplica> kept;
  for (PlacedReplica& replica : aRecord.mDeparted) {
    bool accepted = FindReported(aReport, replica) ||
                    aReport.mHighestFencingToken < replica.mFencingToken;
    bool placed =
      PlacementFind(aRecord, replica.mName, replica.mVersion) != nullptr;
    if (NothingOnItsWay(replica, aExpired)) {
      changed = true;
    } else if (accepted && !placed) {
      replica.mFencingToken = ++aRecord.mFencingToken;
      aRecord.mReplicas.push_back(replica);
      changed = true;
    } else {
      kept.push_back(replica);
    }
  }
  aRecord.mDeparted = std::move(kept);
  return changed;
}

// Charges replicas that the engine reports and the record doesn't have, since
// they use memory all the same, and marks them for unloading.
bool
ChargeUnexpected(PlacementRecord& aRecord, const EngineReport& aReport)
{
  bool changed = false;
  for (const EngineReplica& seen : aReport.mReplicas) {
    if (PlacementFind(aRecord, seen.mName, seen.mVersion)) {
      continue;
    }
    PlacedReplica replica;
    replica.mName = seen.mName;
    replica.mVersion = seen.mVersion;
    replica.mBytes = seen.mBytes;
    replica.mState = ReplicaState::Unloading;
    replica.mFencingToken = ++aRecord.mFencingToken;
    replica.mDecision = "unexpected " + std::to_string(aRecord.mFencingToken);
    aRecord.mReplicas.push_back(replica);
    changed = true;
  }
  return changed;
}

} // namespace

int64_t
PlacementCharged(const PlacementRecord& aRecord)
{
  int64_t bytes = 0;
  for (const PlacedReplica& replica : aRecord.mReplicas) {
    bytes += replica.mBytes;
  }
  return bytes;
}

int64_t
PlacementFree(const PlacementRecord& aRecord)
{
  return aRecord.mMemory - PlacementCharged(aRecord);
}

int64_t
PlacementArriving(const PlacementRecord& aRecord)
{
  int64_t bytes = 0;
  for (const PlacedReplica& replica : aRecord.mReplicas) {
    // A replica that is acknowledged and not reported yet may have arrived
    // since a restart that no report has shown.
    bool arrived =
      replica.mState == ReplicaState::Ready && replica.mAcknowledged;
    bytes += arrived ? 0 : replica.mBytes;
  }
  for (const PlacedReplica& replica : aRecord.mDeparted) {
    bytes += replica.mBytes;
  }
  return bytes;
}

const PlacedReplica*
PlacementFind(const PlacementRecord& aRecord,
              const std::string& aName,
              const std::string& aVersion)
{
  return FindMutable(const_cast<PlacementRecord&>(aRecord), aName, aVersion);
}

bool
PlacementDecideLoad(PlacementRecord& aRecord, const PlacementLoad& aLoad)
{
  if (PlacementFind(aRecord, aLoad.mName, aLoad.mVersion) ||
      PlacementFree(aRecord) < aLoad.mBytes ||
      PlacementArriving(aRecord) + aLoad.mBytes > aRecord.mMemory) {
    return false;
  }
  PlacedReplica replica;
  replica.mName = aLoad.mName;
  replica.mVersion = aLoad.mVersion;
  replica.mBase = aLoad.mBase;
  replica.mBytes = aLoad.mBytes;
  replica.mFencingToken = ++aRecord.mFencingToken;
  replica.mDecision = aLoad.mDecision;
  aRecord.mReplicas.push_back(replica);
  return true;
}

bool
PlacementDecideUnload(PlacementRecord& aRecord,
                      const std::string& aName,
                      const std::string& aVersion)
{
  PlacedReplica* replica = FindMutable(aRecord, aName, aVersion);
  if (!replica || replica->mState == ReplicaState::Unloading) {
    return false;
  }
  replica->mState = ReplicaState::Unloading;
  replica->mFencingToken = ++aRecord.mFencingToken;
  return true;
}

bool
PlacementResend(PlacementRecord& aRecord, const std::string& aDecision)
{
  for (PlacedReplica& replica : aRecord.mReplicas) {
    if (replica.mDecision == aDecision &&
        replica.mState == ReplicaState::Loading) {
      replica.mFencingToken = ++aRecord.mFencingToken;
      ++replica.mLoadOrdersSent;
      replica.mAcknowledged = false;
      return true;
    }
  }
  return false;
}

bool
PlacementAcknowledge(PlacementRecord& aRecord, const std::string& aDecision)
{
  for (PlacedReplica& replica : aRecord.mReplicas) {
    if (replica.mDecision == aDecision && !replica.mAcknowledged &&
        replica.mLoadOrdersSent == 1) {
      replica.mAcknowledged = true;
      return true;
    }
  }
  return false;
}

bool
PlacementObserve(PlacementRecord& aRecord,
                 const EngineReport& aReport,
                 const std::set<std::string>& aExpired)
{
  bool changed = false;
  for (PlacedReplica& replica : aRecord.mReplicas) {
    changed = ObserveReplica(aRecord, replica, aReport, aExpired) || changed;
  }
  changed = ObserveGone(aRecord, aReport, aExpired) || changed;
  changed = ObserveDeparted(aRecord, aReport, aExpired) || changed;
  return ChargeUnexpected(aRecord, aReport) || changed;
}

} // namespace caraway
