// Heartbeat.h: exchanges heartbeats with a few peers.
#ifndef caraway_daemon_Heartbeat_h
#define caraway_daemon_Heartbeat_h

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "daemon/ConfigWatcher.h"
#include "peer/Members.h"
#include "peer/PeerClient.h"
#include "platform/PlatformApi.h"

namespace caraway {

// Each round contacts one peer of this zone and, every few rounds, one of
// another zone, so the cost per instance doesn't grow with the fleet. A new
// instance first contacts the peers that it finds on the list. Otherwise they
// would learn of it from the list a few seconds later, and until then take
// another instance for the owner of its keys. A heartbeat carries the sender's
// instance info, whether it is leaving, and its configuration's revision and
// age.
class Heartbeat
{
public:
  Heartbeat(Members& aMembers,
            PeerClient& aPeers,
            PlatformApi& aPlatform,
            ConfigHolder& aConfig,
            ConfigWatcher& aWatcher,
            std::vector<std::string> aSeeds,
            const Clock& aClock);

  void Round();
  // Notifies all available instances of the zone that this one is leaving.
  void AnnounceLeaving();

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  void ReadList();
  void ContactNewPeers();
  bool SendHeartbeat(const std::string& aAddress);
  Json::Value Self() const;
  void OnHeartbeat(const Json::Value& aJson);

  Members& mMembers;
  PeerClient& mPeers;
  PlatformApi& mPlatform;
  ConfigHolder& mConfig;
  ConfigWatcher& mWatcher;
  std::vector<std::string> mSeeds;
  const Clock& mClock;
  std::mt19937 mRandom{ std::random_device{}() };
  TimePoint mListReadAt{};
  int mRounds = 0;
  size_t mPeersContacted = 0; // peers contacted at the start
};

} // namespace caraway

#endif
