#include "own/ModelGroup.h"

#include <algorithm>

namespace caraway {

namespace {

// Weight of a new sample in the moving average.
constexpr double kNewSampleWeight = 0.2;

} // namespace

ServingReplica*
ModelGroupLeastLoaded(ModelGroup& aGroup)
{
  ServingReplica* best = nullptr;
  for (ServingReplica& replica : aGroup.mServingReplicas) {
    bool hasFreeSlot = replica.mInFlight < replica.mEndpoint.mSlots;
    if (hasFreeSlot && (!best || replica.mInFlight < best->mInFlight)) {
      best = &replica;
    }
  }
  return best;
}

ServingReplica*
ModelGroupReplicaAt(ModelGroup& aGroup, const std::string& aEndpoint)
{
  for (ServingReplica& replica : aGroup.mServingReplicas) {
    if (replica.mEndpoint.mName == aEndpoint) {
      return &replica;
    }
  }
  return nullptr;
}

RequestClass
ModelGroupAdmissibleClass(const ServingReplica& aReplica)
{
  constexpr int kFewSlots = 4; // with fewer, none is reserved for bulletins
  int slots = aReplica.mEndpoint.mSlots;
  if (slots < kFewSlots) {
    bool fits = aReplica.mBatchInFlight < std::max(1, slots - 1);
    return fits ? RequestClass::Batch : RequestClass::Interactive;
  }
  if (slots - aReplica.mInFlight <= 1) {
    return RequestClass::Urgent;
  }
  return aReplica.mBatchInFlight < slots - 2 ? RequestClass::Batch
                                             : RequestClass::Interactive;
}

Millis
ModelGroupReadyIn(const ModelGroup& aGroup, TimePoint aNow)
{
  if (!aGroup.mServingReplicas.empty()) {
    return Millis(0);
  }
  Millis passed =
    aGroup.mLoading
      ? std::chrono::duration_cast<Millis>(aNow - aGroup.mLoadBegan)
      : Millis(0);
  return std::max(Millis(0), aGroup.mLoadTime - passed);
}

void
ModelGroupRecordRate(ModelGroup& aGroup,
                     const ServingReplica& aReplica,
                     double aTokens,
                     double aSeconds)
{
  if (aTokens <= 0 || aSeconds <= 0) {
    return;
  }
  double rate = aTokens / aSeconds * aReplica.mEndpoint.mSlots *
                static_cast<double>(aGroup.mServingReplicas.size());
  aGroup.mRate = aGroup.mRate == 0
                   ? rate
                   : aGroup.mRate + kNewSampleWeight * (rate - aGroup.mRate);
}

} // namespace caraway
