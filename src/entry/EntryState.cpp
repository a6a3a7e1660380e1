#include "entry/EntryState.h"

namespace caraway {

EntryState::EntryState(const Clock& aClock,
                       EntrySettings aSettings,
                       int aLogFile)
  : mSettings(std::move(aSettings))
  , mReactor(aClock)
  , mLog(aClock, mSettings.mName, aLogFile)
  , mServerPool(mReactor)
  , mPeerPool(mReactor)
  , mRetryBudget(
      { mSettings.mRetryRatio, mSettings.mRetrySlack, mSettings.mRetryWindow })
  , mRandom(std::random_device{}())
{
  mServers.ColdLimit().Configure({ mSettings.mName,
                                   mSettings.mZone,
                                   mSettings.mColdOverage,
                                   mSettings.mColdSlack });
  if (mSettings.mFirstStart) {
    mServers.Lives().OnFirstStart();
  }
}

Millis
EntryState::AgeOf(TimePoint aThen) const
{
  return aThen == TimePoint()
           ? Millis(-1)
           : std::chrono::duration_cast<Millis>(Now() - aThen);
}

} // namespace caraway
