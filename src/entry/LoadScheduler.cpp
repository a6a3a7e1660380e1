#include "entry/LoadScheduler.h"

namespace caraway {

namespace {

constexpr Millis kPump{ 25 };
constexpr Millis kGrow{ 500 };

} // namespace

LoadScheduler::LoadScheduler(EntryState& aState,
                             Peers& aPeers,
                             LeaseLoop& aLease,
                             std::string aZone,
                             Tell aTell,
                             std::function<void()> aChanged)
  : mState(aState)
  , mPeers(aPeers)
  , mTell(std::move(aTell))
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
  mState.mReactor.Every(kPump, [this] { Pump(); });
  mState.mReactor.Every(kGrow, [this] { AddReplicas(); });
  mInventories.Start();
}

LoadScheduler::Key
LoadScheduler::KeyOf(const LoadRequest& aWant)
{
  return { aWant.mService, aWant.mModel, aWant.mAdapter };
}

const EngineSpec*
LoadScheduler::EngineOf(const std::string& aService) const
{
  return mState.mConfig ? mState.mConfig->EngineOf(aService) : nullptr;
}

} // namespace caraway
