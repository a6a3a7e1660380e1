// Settings.h: what one instance is told at its start.
#ifndef caraway_daemon_Settings_h
#define caraway_daemon_Settings_h

#include <string>
#include <vector>

#include "caraway/Result.h"
#include "caraway/Time.h"

namespace caraway {

struct AdminKey
{
  std::string mName;   // who; stands in the history of changes
  std::string mDigest; // SHA-256 of the key, hex
};

struct Settings
{
  // [instance]
  std::string mId;                 // its name, unique in the fleet
  std::string mZone;               // its availability zone
  std::vector<std::string> mZones; // all of the fleet's zones
  std::vector<std::string> mNear;  // a few ms away; default: all

  // [caller]
  std::string mCallerListen;          // ip:port
  int mCallerConnections = 256;       // served at a time
  int64_t mCallerBodyBytes = 1048576; // largest request body

  // [admin]
  std::string mAdminListen; // ip:port
  std::vector<AdminKey> mAdminKeys;

  // [peer]
  std::string mPeerListen;             // ip:port
  std::string mPeerAdvertise;          // ip:port; default: as bound
  std::string mPeerSecret;             // the same on all instances
  std::vector<std::string> mPeerSeeds; // ip:port, asked in an outage

  // [platform]
  std::string mPlatformAddress;          // ip:port
  Millis mPlatformTimeout{ 1000 };       // one call
  int64_t mPlatformCallsPerSecond = 200; // budget of this instance

  // [keys]
  Seconds mKeysMaxAge{ 600 }; // served without confirmation

  // [shares]
  Millis mShareLease{ 3000 };           // right to spend after a renewal
  Millis mShareMargin{ 1000 };          // beyond it, before others take
  Seconds mShareIsolationLimit{ 3600 }; // spending on promises, at most
  Millis mShareGrantLife{ 100 };        // from asking to being let in
  // [store]: the weight store's limits, for the whole fleet
  int64_t mStoreAtOnce = 4;          // loads at full speed
  int64_t mStoreStartsPerSecond = 5; // loads begun
  int64_t mStoreAdaptersAtOnce = 30; // adapters in flight

  // [models]
  Seconds mModelIdleLimit{ 300 };    // idle replicas are unloaded
  Seconds mModelOrderHorizon{ 120 }; // no order arrives later

  // [shutdown]
  Millis mShutdownLag{ 3000 };   // balancer still sends for so long
  Seconds mShutdownLimit{ 120 }; // then what is left is cut
};

// Checked whole: unknown tables and fields, wrong types and units, missing
// addresses. ConfigInvalid with "FILE:LINE: field: what was expected".
Result<Settings>
SettingsRead(const std::string& aFile);
Result<Settings>
SettingsParse(const std::string& aText, const std::string& aFile);

} // namespace caraway

#endif
