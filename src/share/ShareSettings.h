// ShareSettings.h: how rates are shared out.
#ifndef caraway_share_ShareSettings_h
#define caraway_share_ShareSettings_h

#include <string>

#include "caraway/Tenant.h"
#include "decide/ShareLease.h"

namespace caraway {

struct ShareSettings
{
  std::string mZone;
  int mZones = 1; // the fleet's zones: one part each
  ShareLeaseParameters mParameters;
  Millis mGrantLifetime{ 100 };  // from asking to being let in, at most
  Millis mTakeTimeout{ 40 };     // one question to a holder
  Millis mRenewBatchWait{ 400 }; // renewals that one write waits for
};

// Tokens a tenant may burst to at one holder. What is granted may be spent a
// grant's life later than it was debited, which stretches a burst by the rate
// over that time; so that much is taken off beforehand.
double
ShareSlotBurst(const Tenant& aTenant, const ShareSettings& aSettings);

} // namespace caraway

#endif
