#include "decide/LoadPlan.h"

#include <algorithm>

#include "decide/PlacementStep.h"

namespace caraway {

namespace {

struct Eviction
{
  std::vector<PlacedReplica> mReplicas;
  double mCost = 0;
  bool mEnough = false;
};

bool
IsCachedIn(const std::vector<std::string>& aCached, const std::string& aName)
{
  return std::find(aCached.begin(), aCached.end(), aName) != aCached.end();
}

double
SourceCost(const EngineReport& aReport,
           const std::string& aName,
           const LoadPlanParameters& aParameters)
{
  if (IsCachedIn(aReport.mCachedInMemory, aName)) {
    return aParameters.mMemoryCost;
  }
  if (IsCachedIn(aReport.mCachedOnDisk, aName)) {
    return aParameters.mDiskCost;
  }
  return aParameters.mRemoteCost;
}

const EngineReplica*
FindReported(const EngineReport& aReport, const PlacedReplica& aReplica)
{
  for (const EngineReplica& seen : aReport.mReplicas) {
    if (seen.mName == aReplica.mName && seen.mVersion == aReplica.mVersion) {
      return &seen;
    }
  }
  return nullptr;
}

bool
HasAdapters(const PlacementRecord& aRecord, const std::string& aModel)
{
  return std::any_of(
    aRecord.mReplicas.begin(),
    aRecord.mReplicas.end(),
    [&](const PlacedReplica& aReplica) { return aReplica.mBase == aModel; });
}

// Chooses the replicas idle longest, until aBytes fit.
Eviction
ChooseEvictions(const LoadCandidate& aCandidate,
                int64_t aBytes,
                const LoadPlanParameters& aParameters)
{
  std::vector<std::pair<Millis, PlacedReplica>> idle;
  for (const PlacedReplica& replica : aCandidate.mRecord.mReplicas) {
    const EngineReplica* seen = FindReported(aCandidate.mReport, replica);
    bool busy =
      !seen || seen->mActive > 0 || seen->mIdle < aParameters.mMinIdle;
    // Without fencing, a replica whose load order wasn't acknowledged is
    // provably gone only after minutes, too late for the waiting request.
    bool lingers = !aCandidate.mRecord.mChecksFencing && !replica.mAcknowledged;
    if (replica.mState != ReplicaState::Ready || busy || lingers ||
        HasAdapters(aCandidate.mRecord, replica.mName)) {
      continue;
    }
    idle.emplace_back(seen->mIdle, replica);
  }
  std::sort(
    idle.begin(), idle.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  Eviction eviction;
  if (PlacementArriving(aCandidate.mRecord) + aBytes >
      aCandidate.mRecord.mMemory) {
    return eviction; // no eviction makes room for this load
  }
  int64_t free = PlacementFree(aCandidate.mRecord);
  for (const auto& entry : idle) {
    if (free >= aBytes) {
      break;
    }
    free += entry.second.mBytes;
    double idleFor = static_cast<double>(entry.first.count());
    double freeAfter =
      static_cast<double>(aParameters.mFreeEvictionIdle.count());
    eviction.mCost +=
      aParameters.mRemoteCost * std::max(0.0, 1 - idleFor / freeAfter);
    eviction.mReplicas.push_back(entry.second);
  }
  eviction.mEnough = free >= aBytes;
  return eviction;
}

} // namespace

bool
LoadPlanFromStore(const EngineReport& aReport, const std::string& aName)
{
  return !IsCachedIn(aReport.mCachedInMemory, aName) &&
         !IsCachedIn(aReport.mCachedOnDisk, aName);
}

Millis
LoadPlanIdleLimit(const EngineReport& aReport,
                  const std::string& aName,
                  Millis aBase,
                  const LoadPlanParameters& aParameters)
{
  double fraction =
    SourceCost(aReport, aName, aParameters) / aParameters.mRemoteCost;
  return Millis(
    static_cast<int64_t>(static_cast<double>(aBase.count()) * fraction));
}

LoadPlan
LoadPlanChoose(const std::vector<LoadCandidate>& aCandidates,
               const std::string& aName,
               const std::string& aVersion,
               int64_t aBytes,
               const LoadPlanParameters& aParameters)
{
  LoadPlan plan;
  double best = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const LoadCandidate& candidate = aCandidates[i];
    if (!candidate.mReachable) {
      continue;
    }
    const PlacedReplica* placed =
      PlacementFind(candidate.mRecord, aName, aVersion);
    if (placed && placed->mState != ReplicaState::Unloading) {
      return { static_cast<int>(i), {}, true };
    }
    if (placed) {
      continue;
    }
    Eviction eviction = ChooseEvictions(candidate, aBytes, aParameters);
    if (!eviction.mEnough) {
      continue;
    }
    constexpr double kCostPerActiveRequest = 0.02;
    double cost = SourceCost(candidate.mReport, aName, aParameters) +
                  eviction.mCost +
                  kCostPerActiveRequest * candidate.mReport.mActive;
    if (plan.mCandidate < 0 || cost < best) {
      plan.mCandidate = static_cast<int>(i);
      plan.mEvict = eviction.mReplicas;
      best = cost;
    }
  }
  return plan;
}

} // namespace caraway
