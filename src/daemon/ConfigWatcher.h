// ConfigWatcher.h: keeps this instance's configuration the newest.
#ifndef caraway_daemon_ConfigWatcher_h
#define caraway_daemon_ConfigWatcher_h

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include "peer/PeerClient.h"
#include "peer/PeerRpc.h"
#include "platform/ConfigFollower.h"

namespace caraway {

// One watch at the platform, whose return (with a change or without) confirms
// how fresh we are. Beside it, what peers say: a peer that knows a newer
// revision is asked for it, so that a change reaches instances that can't
// reach the platform, and a new instance starts while the platform is out.
class ConfigWatcher
{
public:
  ConfigWatcher(ConfigStore& aStore,
                ConfigHolder& aHolder,
                PeerClient& aPeers,
                Millis aWatch,
                const Clock& aClock);
  ~ConfigWatcher();

  void Start();
  void Stop();
  // What a peer answered to a beat that we began at aAsked.
  void OnPeerFreshness(const std::string& aAddress,
                       const ConfigFreshness& aFresh,
                       TimePoint aAsked);
  // Reads the index now, after a change accepted here.
  void Refresh();

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  void Run();
  std::optional<ConfigSnapshot> FetchFromPeer(const std::string& aAddress);

  ConfigFollower mFollower;
  ConfigHolder& mHolder;
  PeerClient& mPeers;
  Millis mWatch; // one watch; how often freshness is confirmed at least
  const Clock& mClock;

  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace caraway

#endif
