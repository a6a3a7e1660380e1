#include "load/LoadScheduler.h"

#include <algorithm>

namespace caraway {

namespace {

// Requests a second. Below this rate one replica in the fleet is enough.
constexpr double kMinReplicaRate = 0.2;

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

// Which models get another replica before requests have to wait for it.

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
