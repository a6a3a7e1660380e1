// ShareGrant.h: tokens taken from one holder.
#ifndef caraway_share_ShareGrant_h
#define caraway_share_ShareGrant_h

#include <json/json.h>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

// What a holder gave. mTakenAt is the holder's own clock; it comes back with
// what wasn't used, so that the holder keeps no state per grant.
struct ShareGrant
{
  std::string mAddress; // the holder's; "" = ourselves
  std::string mHolder;  // incarnation: a later one ignores refunds
  int mSlot = 0;
  double mTokens = 0;
  int64_t mTakenAt = 0; // ns of the holder's clock
};

// What a request was let in with.
struct ShareTicket
{
  std::string mTenant;
  std::vector<ShareGrant> mGrants;
};

} // namespace caraway

#endif
