// ShareGrant.h: tokens taken from one holder.
#ifndef caraway_share_ShareGrant_h
#define caraway_share_ShareGrant_h

#include <json/json.h>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// Tokens granted by one holder. mTakenAt is returned with a refund, so that the
// holder keeps no state per grant.
struct ShareGrant
{
  std::string mAddress; // of the holder; "" = this instance
  std::string mHolder;  // incarnation; a later one ignores refunds
  int mSlot = 0;
  double mTokens = 0;
  int64_t mTakenAt = 0; // ns, by the holder's clock
};

// All grants that a request was admitted with.
struct ShareTicket
{
  std::string mTenant;
  std::vector<ShareGrant> mGrants;
};

} // namespace caraway

#endif
