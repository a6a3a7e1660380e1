// ConfigWatcher.h: keeps this instance's configuration up to date.
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

// Runs one watch at the platform; each return, with a change or without,
// confirms freshness. In addition, a newer revision that a peer reports is
// fetched from that peer, so that a change reaches instances that can't reach
// the platform, and a new instance can start during a platform outage.
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
  // Handles the freshness in a peer's heartbeat answer; aAsked: when the
  // heartbeat was sent.
  void OnPeerFreshness(const std::string& aAddress,
                       const ConfigFreshness& aFresh,
                       TimePoint aAsked);
  // Reads the index immediately; called after a change was accepted here.
  void Refresh();

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  void Run();
  std::optional<ConfigSnapshot> FetchFromPeer(const std::string& aAddress);

  ConfigFollower mFollower;
  ConfigHolder& mHolder;
  PeerClient& mPeers;
  Millis mWatch; // length of a watch, and so the confirmation interval
  const Clock& mClock;

  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace caraway

#endif
