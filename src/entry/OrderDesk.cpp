#include "entry/OrderDesk.h"

namespace caraway {

namespace {

constexpr Millis kPump{ 25 };

constexpr Millis kGrow{ 500 };

} // namespace

OrderDesk::OrderDesk(EntryState& aState,
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
  , mAccounts(aState, aPeers, aLease, mZone, [this] { mChanged(); })
  , mClaims(mZone)
{
}

void
OrderDesk::Start()
{
  mState.mReactor.Every(kPump, [this] { Pump(); });
  mState.mReactor.Every(kGrow, [this] { Grow(); });
  mAccounts.Start();
}

OrderDesk::Key
OrderDesk::KeyOf(const PlaceWant& aWant)
{
  return { aWant.mService, aWant.mModel, aWant.mAdapter };
}

const EngineSpec*
OrderDesk::EngineOf(const std::string& aService) const
{
  return mState.mConfig ? mState.mConfig->EngineOf(aService) : nullptr;
}

} // namespace caraway
