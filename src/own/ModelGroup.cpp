#include "own/ModelGroup.h"

#include <algorithm>

namespace caraway {

namespace {

// Share of a new measurement in what is learnt.
constexpr double kLearn = 0.2;

} // namespace

ServingReplica*
ModelGroupLeastLoaded(ModelGroup& aGroup)
{
  ServingReplica* best = nullptr;
  for (ServingReplica& serving : aGroup.mServing) {
    bool room = serving.mInFlight < serving.mEndpoint.mSlots;
    if (room && (!best || serving.mInFlight < best->mInFlight)) {
      best = &serving;
    }
  }
  return best;
}

ServingReplica*
ModelGroupReplicaAt(ModelGroup& aGroup, const std::string& aEndpoint)
{
  for (ServingReplica& serving : aGroup.mServing) {
    if (serving.mEndpoint.mName == aEndpoint) {
      return &serving;
    }
  }
  return nullptr;
}

RequestClass
ModelGroupAdmissibleClass(const ServingReplica& aServing)
{
  constexpr int kFewSlots = 4; // too few to keep any idle
  int slots = aServing.mEndpoint.mSlots;
  if (slots < kFewSlots) {
    bool fits = aServing.mBatchInFlight < std::max(1, slots - 1);
    return fits ? RequestClass::Batch : RequestClass::Interactive;
  }
  if (slots - aServing.mInFlight <= 1) {
    return RequestClass::Urgent;
  }
  return aServing.mBatchInFlight < slots - 2 ? RequestClass::Batch
                                             : RequestClass::Interactive;
}

Millis
ModelGroupReadyIn(const ModelGroup& aGroup, TimePoint aNow)
{
  if (!aGroup.mServing.empty()) {
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
                     const ServingReplica& aServing,
                     double aTokens,
                     double aSeconds)
{
  if (aTokens <= 0 || aSeconds <= 0) {
    return;
  }
  double rate = aTokens / aSeconds * aServing.mEndpoint.mSlots *
                static_cast<double>(aGroup.mServing.size());
  aGroup.mRate =
    aGroup.mRate == 0 ? rate : aGroup.mRate + kLearn * (rate - aGroup.mRate);
}

} // namespace caraway
