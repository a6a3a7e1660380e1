// RateSplit.h: how a tenant's rate and burst are split between instances.
//
// Each zone has an even part, whatever becomes of the others, so that one that
// is cut off goes on with it. In a zone it is split between as many instances
// as it makes useful parts for, by rendezvous hash; those who lack tokens
// borrow from those who have them.
#ifndef caraway_decide_RateSplit_h
#define caraway_decide_RateSplit_h

#include <string>
#include <vector>

#include "caraway/Time.h"
#include "decide/ServingConfig.h"

namespace caraway {

// Borrowed tokens are spent or put into a bucket within this of being asked
// for. Until then they are in no bucket, while the lender's fills again.
inline constexpr Millis kLoanLife{ 50 };

// The burst that is split: what loans may add to it is taken off.
double
SplitBurst(const TenantLimit& aLimit);

// Which of aMembers, the instances of a zone, hold a part. Never none, unless
// there are no members.
std::vector<std::string>
HoldersOf(const TenantLimit& aLimit,
          size_t aZones,
          const std::vector<std::string>& aMembers);

// aSelf's part of the limit, 0 to 1; aMembers are those of its own zone.
double
PartOf(const TenantLimit& aLimit,
       size_t aZones,
       const std::vector<std::string>& aMembers,
       const std::string& aSelf);

// The part of the burst that a stream leaves for more urgent ones of its
// tenant. A tenant that asks for more than its limit would otherwise spend it
// on whatever comes first, mostly on what is least urgent; so its urgent routes
// find tokens while the others wait.
double
ReserveFor(int aPriority, int aLeastUrgent);

} // namespace caraway

#endif
