// ShareSettings.h: how tenant rate limits are divided over holders.
#ifndef caraway_share_ShareSettings_h
#define caraway_share_ShareSettings_h

#include <string>

#include "caraway/Tenant.h"
#include "decide/ShareLease.h"

namespace caraway {

struct ShareSettings
{
  std::string mZone;
  int mZones = 1; // zones of the fleet, with equal parts
  ShareLeaseParameters mParameters;
  Millis mGrantLifetime{ 100 };  // from first request to admission, at most
  Millis mTakeTimeout{ 40 };     // of one request to a holder
  Millis mRenewBatchWait{ 400 }; // time a write waits for further renewals
};

// Burst of a tenant in one slot, in tokens. A granted token may be spent up to
// mGrantLifetime after it was debited, which adds the rate times that lifetime
// to a burst; so that much is subtracted beforehand.
double
ShareSlotBurst(const Tenant& aTenant, const ShareSettings& aSettings);

} // namespace caraway

#endif
