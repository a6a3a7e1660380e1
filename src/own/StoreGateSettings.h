// StoreGateSettings.h: what the weight store and the engines' adapters bear.
#ifndef caraway_own_StoreGateSettings_h
#define caraway_own_StoreGateSettings_h

#include "decide/LoadGate.h"

namespace caraway {

struct StoreGateSettings
{
  int mZones = 1;                  // of the fleet
  int mAtOnce = 4;                 // loads at full speed, all zones together
  double mStarts = 5;              // loads begun a second, the same
  int mMaxConcurrentAdapters = 30; // in flight, the same
};

// The part of so many of its zones.
LoadGateParameters
StoreGateParameters(const StoreGateSettings& aSettings, int aZones);

} // namespace caraway

#endif
