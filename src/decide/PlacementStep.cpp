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

// Whether no load order can bring the replica back. An engine that checks
// fencing refuses every order below the highest token it has accepted. One that
// ignores fencing accepts any copy that still arrives; there the replica is
// gone for good only if the single copy ever sent was answered, or after the
// longest time an order can take. Until then it stays charged, so that one that
// does come back is in the record.
bool
ProvablyGone(const PlacementRecord& aRecord,
             const PlacedReplica& aReplica,
             const EngineReport& aReport,
             const std::set<std::string>& aExpired)
{
  if (aRecord.mChecksFencing) {
    return aReport.mHighestFencingToken >= aReplica.mFencingToken;
  }
  return aReplica.mAcknowledged || aExpired.count(aReplica.mDecision) != 0;
}

bool
ObserveReplica(PlacementRecord& aRecord,
               PlacedReplica& aReplica,
               const EngineReport& aReport)
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
  return false;
}

bool
ObserveGone(PlacementRecord& aRecord,
            const EngineReport& aReport,
            const std::set<std::string>& aExpired)
{
  size_t before = aRecord.mReplicas.size();
  auto gone = [&](const PlacedReplica& aReplica) {
    return aReplica.mState == ReplicaState::Unloading &&
           !FindReported(aReport, aReplica) &&
           ProvablyGone(aRecord, aReplica, aReport, aExpired);
  };
  aRecord.mReplicas.erase(
    std::remove_if(aRecord.mReplicas.begin(), aRecord.mReplicas.end(), gone),
    aRecord.mReplicas.end());
  return aRecord.mReplicas.size() != before;
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
      PlacementFree(aRecord) < aLoad.mBytes) {
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
    changed = ObserveReplica(aRecord, replica, aReport) || changed;
  }
  changed = ObserveGone(aRecord, aReport, aExpired) || changed;
  return ChargeUnexpected(aRecord, aReport) || changed;
}

} // namespace caraway
