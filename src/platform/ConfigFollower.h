// ConfigFollower.h: adopts newer configurations from the platform and from
// peers.
#ifndef caraway_platform_ConfigFollower_h
#define caraway_platform_ConfigFollower_h

#include <functional>
#include <mutex>
#include <optional>

#include "platform/ConfigHolder.h"
#include "platform/ConfigStore.h"

namespace caraway {

// Decides from the platform's answers and peers' reports which configuration to
// adopt and how fresh it is. Threads and waiting are in ConfigWatcher.
class ConfigFollower
{
public:
  using Fetch = std::function<std::optional<ConfigSnapshot>()>;

  ConfigFollower(ConfigStore& aStore,
                 ConfigHolder& aHolder,
                 const Clock& aClock);

  // Polls the platform's index once: watches it for aWatch, or reads it if
  // there is no version to watch from. The result, a change or none, confirms
  // freshness as of the time of the call.
  Result<void> Poll(Millis aWatch);
  // Reads the index immediately.
  Result<void> Read();
  // Handles a peer's freshness report, made at some moment after aAsked. Calls
  // aFetch to get the peer's configuration if it is newer than the one in
  // force.
  void OnPeerFreshness(const ConfigFreshness& aFresh,
                       TimePoint aAsked,
                       const Fetch& aFetch);

private:
  struct WatchPosition
  {
    int64_t mVersion = 0;  // index version to watch from; 0 = read it first
    int64_t mRevision = 0; // the index's revision at that version
  };

  Result<void> ApplyIndex(const ConfigIndex& aIndex, TimePoint aAsked);

  ConfigStore& mStore;
  ConfigHolder& mHolder;
  const Clock& mClock;
  std::mutex mLock;
  WatchPosition mWatchPosition; // advanced only after the revision was adopted
};

} // namespace caraway

#endif
