#include "entry/EntryState.h"

namespace caraway {

namespace {

// A pass of the event loop, or a wait that was too long by this much, is a
// standstill: a feed that works is behind the store by about as much.
constexpr Millis kStandstill{ 500 };

} // namespace

EntryState::EntryState(const Clock& aClock,
                       EntrySettings aSettings,
                       int aLogFile)
  : mSettings(std::move(aSettings))
  , mRequests(RequestAccountLimitsFor(mSettings.mMemory))
  , mReactor(aClock)
  , mLog(aClock, mSettings.mName, aLogFile)
  , mServerPool(mReactor)
  , mPeerPool(mReactor)
  , mRetryBudget(
      { mSettings.mRetryRatio, mSettings.mRetrySlack, mSettings.mRetryWindow })
  , mRandom(std::random_device{}())
{
  mServerPool.SetLog(mLog);
  mPeerPool.SetLog(mLog);
  mServers.ColdLimit().Configure({ mSettings.mName,
                                   mSettings.mZone,
                                   mSettings.mColdOverage,
                                   mSettings.mColdSlack });
  mStartedAt = Now();
  mConfigFreshness.Configure(mSettings.mConfigLimit);
  mConfigFreshness.OnHeldUp(mStartedAt);
  mListFreshness.OnHeldUp(mStartedAt);
  if (mSettings.mFirstStart) {
    mServers.Lives().OnFirstStart();
  }
}

void
EntryState::NoteStandstill()
{
  if (mReactor.Lag() < kStandstill) {
    return;
  }
  mConfigFreshness.OnHeldUp(mReactor.PolledAt());
  mListFreshness.OnHeldUp(mReactor.PolledAt());
  if (mSettings.mEvacuationLimit) {
    mEvacuationFreshness.OnHeldUp(mReactor.PolledAt());
  }
}

bool
EntryState::InDoubt() const
{
  constexpr auto kCheck = FeedFreshness::Verdict::Check;
  return mConfigFreshness.ToServe() == kCheck ||
         mListFreshness.ToServe() == kCheck ||
         mEvacuationFreshness.ToServe() == kCheck;
}

void
EntryState::DropConnections(const std::string& aAddress,
                            const std::string& aServer)
{
  mServerPool.Drop(aAddress, aServer);
}

Millis
EntryState::AgeOf(TimePoint aThen) const
{
  return aThen == TimePoint()
           ? Millis(-1)
           : std::chrono::duration_cast<Millis>(Now() - aThen);
}

} // namespace caraway
