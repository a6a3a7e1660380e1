// Heartbeat.h: short talks with a few peers.
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

// Each round one peer of our zone and, every few rounds, one of another: the
// cost of an instance doesn't grow with the fleet. A newcomer begins by
// greeting those it reads of; else they would learn of it from the list, a few
// seconds later, and until then hold another for the owner of what it owns. A
// beat says who we are, whether we leave, and which configuration we have.
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
  // Tells all fit instances of the zone that we leave.
  void AnnounceLeaving();

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  void ReadList();
  void ContactNewPeers();
  bool SendHeartbeat(const std::string& aAddress);
  Json::Value Self() const;
  void Heard(const Json::Value& aJson);

  Members& mMembers;
  PeerClient& mPeers;
  PlatformApi& mPlatform;
  ConfigHolder& mConfig;
  ConfigWatcher& mWatcher;
  std::vector<std::string> mSeeds;
  const Clock& mClock;
  std::mt19937 mRandom{ std::random_device{}() };
  TimePoint mListRead{};
  int mRounds = 0;
  size_t mGreeted = 0; // peers
};

} // namespace caraway

#endif
