// StoreGateSettings.h: limits on loads from the weight store and of adapters.
#ifndef caraway_own_StoreGateSettings_h
#define caraway_own_StoreGateSettings_h

#include "decide/LoadGate.h"

namespace caraway {

struct StoreGateSettings
{
  int mZones = 1;       // of the fleet
  int mMaxLoads = 4;    // loads at the store's full speed, all zones together
  double mLoadRate = 5; // loads begun per second, all zones together
  int mMaxConcurrentAdapters = 30; // adapter loads, all zones together
};

// Limits for aZones of the fleet's zones.
LoadGateParameters
StoreGateParameters(const StoreGateSettings& aSettings, int aZones);

} // namespace caraway

#endif
