// EntrySettings.h: what an entry instance is told about itself at its start.
#ifndef caraway_entry_EntrySettings_h
#define caraway_entry_EntrySettings_h

#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct EntrySettings
{
  std::string mName;
  std::string mZone;
  std::vector<std::string> mZones; // all of the fleet, sorted
  std::string mCallers;            // ip:port for callers
  std::string mReadiness;          // ip:port that the balancer asks
  std::string mPeers;              // ip:port for other instances, TCP and UDP
  std::string mMetrics;            // ip:port for metrics; "" = none
  std::string mStore;              // ip:port of the object store
  double mCpuShare = 1;            // of a core
  Millis mGrace{ 8000 };           // from SIGTERM to SIGKILL
  Millis mOrderSilence{ 3000 };    // between two holders' orders to a server
  Millis mServerHeartbeatInterval{
    1200
  };                        // servers write to their entries so often
  double mRetryRatio = 0.2; // repeats a request, over all instances
  double mRetrySlack = 0;   // repeats besides, in each window
  Millis mRetryWindow{ 10000 };
};

} // namespace caraway

#endif
