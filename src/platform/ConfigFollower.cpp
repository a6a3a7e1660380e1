#include "platform/ConfigFollower.h"

#include "base/Log.h"

namespace caraway {

ConfigFollower::ConfigFollower(ConfigStore& aStore,
                               ConfigHolder& aHolder,
                               const Clock& aClock)
  : mStore(aStore)
  , mHolder(aHolder)
  , mClock(aClock)
{
}

Result<void>
ConfigFollower::Poll(Millis aWatch)
{
  WatchPosition position;
  {
    std::lock_guard<std::mutex> lock(mLock);
    position = mWatchPosition;
  }
  if (position.mVersion == 0) {
    return Read();
  }
  TimePoint asked = mClock.Now();
  auto index =
    Outcome([&] { return mStore.WatchIndex(position.mVersion, aWatch); });
  if (auto* found = std::get_if<ConfigIndex>(&index)) {
    return ApplyIndex(*found, asked);
  }
  const Failure& failure = std::get<Failure>(index);
  if (failure.mKind != ErrorKind::NotFound) {
    return Fail(failure);
  }
  // Confirms as of the start of the call, since the platform may have changed
  // after it, and for the revision that was watched: another thread may be
  // loading a newer one that isn't in force here yet.
  mHolder.Confirm(position.mRevision, asked);
  return {};
}

Result<void>
ConfigFollower::Read()
{
  TimePoint asked = mClock.Now();
  BOOST_LEAF_AUTO(index, mStore.Index());
  return ApplyIndex(index, asked);
}

Result<void>
ConfigFollower::ApplyIndex(const ConfigIndex& aIndex, TimePoint aAsked)
{
  if (aIndex.mNow.mRevision > mHolder.Current()->mRevision) {
    // The watch position moves only after the load. A watch from the new
    // version would report no change, and the old configuration would count as
    // fresh.
    BOOST_LEAF_AUTO(config, mStore.Load(aIndex.mNow));
    if (mHolder.Adopt(std::move(config))) {
      LogInfo("config_in_force",
              { { "revision", std::to_string(aIndex.mNow.mRevision) },
                { "from", "platform" } });
    }
  }
  mHolder.Confirm(aIndex.mNow.mRevision, aAsked);
  std::lock_guard<std::mutex> lock(mLock);
  if (aIndex.mVersion > mWatchPosition.mVersion) {
    mWatchPosition = { aIndex.mVersion, aIndex.mNow.mRevision };
  }
  return {};
}

void
ConfigFollower::OnPeerFreshness(const ConfigFreshness& aFresh,
                                TimePoint aAsked,
                                const Fetch& aFetch)
{
  if (aFresh.mRevision > mHolder.Current()->mRevision) {
    auto config = aFetch();
    int64_t revision = config ? config->mRevision : 0;
    if (config && mHolder.Adopt(std::move(*config))) {
      LogInfo("config_in_force",
              { { "revision", std::to_string(revision) }, { "from", "peer" } });
    }
  }
  // The peer's revision was confirmed at the time of its answer minus its age.
  // The start of this call minus that age is no later, so freshness is never
  // overstated.
  if (aFresh.mRevision > 0) {
    mHolder.Confirm(aFresh.mRevision, aAsked - aFresh.mAge);
  }
}

} // namespace caraway
