// Settings.h: the settings file of one instance.
#ifndef caraway_daemon_Settings_h
#define caraway_daemon_Settings_h

#include <string>
#include <vector>

#include "caraway/Result.h"
#include "caraway/Time.h"

namespace caraway {

struct AdminKey
{
  std::string mName;   // operator's name, as in the history of changes
  std::string mDigest; // SHA-256 of the key, in hex
};

struct Settings
{
  // [instance]
  std::string mId;                 // unique in the fleet
  std::string mZone;               // availability zone
  std::vector<std::string> mZones; // all zones of the fleet
  std::vector<std::string> mNear;  // zones a few ms away; default: all

  // [limits]
  int64_t mMemoryMb = 260;     // of the machine, 1,000,000 bytes each
  int64_t mDescriptors = 4096; // that the process may have open

  // [caller]
  std::string mCallerListen;          // ip:port
  int mCallerConnections = 256;       // served at the same time
  int64_t mCallerBodyBytes = 1048576; // largest request body, in bytes

  // [admin]
  std::string mAdminListen; // ip:port
  std::vector<AdminKey> mAdminKeys;

  // [peer]
  std::string mPeerListen;    // ip:port
  std::string mPeerAdvertise; // ip:port; default: as bound
  std::string mPeerSecret;    // shared by all instances
  // ip:port; contacted while no peer is known, as at a start during a platform
  // outage.
  std::vector<std::string> mPeerSeeds;

  // [platform]
  std::string mPlatformAddress;          // ip:port
  Millis mPlatformTimeout{ 1000 };       // per call
  int64_t mPlatformCallsPerSecond = 200; // budget of this instance

  // [keys]
  Seconds mKeysMaxAge{ 600 }; // longest use of unconfirmed keys

  // [shares]
  Millis mShareLease{ 3000 };           // right to spend after a renewal
  Millis mShareMargin{ 1000 };          // from a lease's end to a takeover
  Seconds mShareIsolationLimit{ 3600 }; // longest spending without a renewal
  Millis mShareGrantLife{ 100 };        // from request of tokens to admission

  // [store]: the weight store's limits, for the whole fleet
  int64_t mStoreAtOnce = 4;          // concurrent loads at full speed
  int64_t mStoreStartsPerSecond = 5; // load starts per second
  int64_t mStoreAdaptersAtOnce = 30; // concurrent adapter loads

  // [models]
  Seconds mModelIdleLimit{ 300 };    // idle replicas are unloaded after it
  Seconds mModelOrderHorizon{ 120 }; // longest delay of an order in flight

  // [shutdown]
  Millis mShutdownLag{ 3000 };   // the balancer may keep sending for so long
  Seconds mShutdownLimit{ 120 }; // then requests in flight are cut off
};

// Reports unknown tables and fields, wrong types and units, and missing
// addresses. ConfigInvalid with "FILE:LINE: field: what was expected".
Result<Settings>
SettingsRead(const std::string& aFile);
Result<Settings>
SettingsParse(const std::string& aText, const std::string& aFile);

} // namespace caraway

#endif
