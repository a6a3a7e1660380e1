// ConfigFollower.h: takes up newer configurations, from wherever they come.
#ifndef caraway_platform_ConfigFollower_h
#define caraway_platform_ConfigFollower_h

#include <functional>
#include <mutex>
#include <optional>

#include "platform/ConfigHolder.h"
#include "platform/ConfigStore.h"

namespace caraway {

// The decisions between the platform's answers, what peers say, and the
// holder. Threads and waiting are ConfigWatcher's.
class ConfigFollower
{
public:
  using Fetch = std::function<std::optional<ConfigSnapshot>()>;

  ConfigFollower(ConfigStore& aStore,
                 ConfigHolder& aHolder,
                 const Clock& aClock);

  // One look at the platform's index: a watch of aWatch, or a read when there
  // is nothing to watch from. What it returns, a change or none, confirms how
  // fresh we are as of when it was asked.
  Result<void> Look(Millis aWatch);
  // A read of the index, now.
  Result<void> Read();
  // What a peer had at some moment after aAsked. aFetch asks it for that when
  // it is newer than ours.
  void OnPeerFreshness(const ConfigFreshness& aFresh,
                       TimePoint aAsked,
                       const Fetch& aFetch);

private:
  struct WatchPosition
  {
    int64_t mVersion = 0;  // of the index, to watch from; 0 = read it
    int64_t mRevision = 0; // that the index had then
  };

  Result<void> Take(const ConfigIndex& aIndex, TimePoint aAsked);

  ConfigStore& mStore;
  ConfigHolder& mHolder;
  const Clock& mClock;
  std::mutex mLock;
  WatchPosition mWatchPosition; // adopted, not merely seen
};

} // namespace caraway

#endif
