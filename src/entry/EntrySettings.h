// EntrySettings.h: settings of an entry instance.
#ifndef caraway_entry_EntrySettings_h
#define caraway_entry_EntrySettings_h

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct EntrySettings
{
  std::string mName;
  std::string mZone;
  std::vector<std::string> mZones; // all zones of the fleet, sorted
  std::map<std::string, std::string> mRegionOfZone;
  std::string mCallers;       // ip:port for callers
  std::string mReadiness;     // ip:port for the load balancer's checks
  std::string mPeers;         // ip:port for other instances, TCP and UDP
  std::string mMetrics;       // ip:port for metrics; "" = none
  std::string mStore;         // ip:port of the object store
  double mCpuShare = 1;       // of a core
  size_t mMemory = 120000000; // bytes that the process may have
  size_t mDescriptors = 4096; // that it may have open
  bool mFirstStart = false;   // of the whole fleet
  Millis mGrace{ 8000 };      // from SIGTERM to SIGKILL
  // Between the orders of two lease holders to a server.
  Millis mOrderSilence{ 3000 };
  // Interval at which servers update their entries in the store.
  Millis mServerHeartbeatInterval{ 1200 };
  // Within this time a change of the configuration must be in force at all
  // instances that are in contact with the store.
  Millis mConfigLimit{ 2000 };
  // Within this time an evacuation must be in force at all instances that are
  // in contact with the store; nothing = evacuations are not in use.
  // Only its presence has an effect.
  std::optional<Millis> mEvacuationLimit;
  double mRetryRatio = 0.2; // retries per request, over all instances
  double mRetrySlack = 0;   // additional retries in each window
  Millis mRetryWindow{ 10000 };
  // A cold server may get so many times its rate in a second, and so many
  // requests more, from all instances.
  double mColdOverage = 1;
  double mColdSlack = 0;
  // Fields that were ignored because they can't be read.
  std::vector<std::string> mIgnored;
};

} // namespace caraway

#endif
