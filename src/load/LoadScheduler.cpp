#include "load/LoadScheduler.h"

namespace caraway {

namespace {

constexpr Millis kScheduleInterval{ 25 };
constexpr Millis kReplicaCheckInterval{ 500 };

// A newly popular model fills a server within a second.
constexpr Millis kRisingCheckInterval{ 100 };

} // namespace

LoadScheduler::LoadScheduler(EntryState& aState,
                             Peers& aPeers,
                             LeaseLoop& aLease,
                             std::string aZone,
                             Notify aNotify,
                             std::function<void()> aChanged)
  : mState(aState)
  , mPeers(aPeers)
  , mNotify(std::move(aNotify))
  , mChanged(std::move(aChanged))
  , mLease(aLease)
  , mZone(std::move(aZone))
  , mInventories(aState, aPeers, aLease, mZone, [this] { mChanged(); })
  , mClaims(mZone)
{
}

void
LoadScheduler::Start()
{
  mState.mReactor.Every(kScheduleInterval, [this] { ScheduleQueued(); });
  mState.mReactor.Every(kReplicaCheckInterval, [this] { AddReplicas(); });
  mState.mReactor.Every(kRisingCheckInterval, [this] { AddRisingReplicas(); });
  mState.mReactor.Every(StoreLoadTracker::kReportInterval,
                        [this] { RepeatStoreLoads(); });
  mInventories.Start();
}

LoadScheduler::Key
LoadScheduler::KeyOf(const LoadRequest& aRequest)
{
  return {
    aRequest.mService, aRequest.mModel, aRequest.mAdapter, aRequest.mVersion
  };
}

const EngineSpec*
LoadScheduler::EngineOf(const std::string& aService) const
{
  return mState.mConfig ? mState.mConfig->EngineOf(aService) : nullptr;
}

} // namespace caraway
