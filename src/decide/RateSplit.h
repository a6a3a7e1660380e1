// RateSplit.h: splits a tenant's rate and burst into parts, one per instance.
//
// Each zone has an equal part, whatever the state of the others, so that a zone
// that is cut off continues with it. Within a zone that part is split between
// as many instances as can each get a useful amount, chosen by rendezvous
// hashing. Instances that lack tokens borrow from those that have them.
#ifndef caraway_decide_RateSplit_h
#define caraway_decide_RateSplit_h

#include <string>
#include <vector>

#include "caraway/Time.h"
#include "decide/ServingConfig.h"

namespace caraway {

// Borrowed tokens must be spent or put into a bucket within this time after the
// request. Until then they are in no bucket, while the lender's bucket refills.
inline constexpr Millis kLoanLife{ 50 };

// The burst to split: aLimit's burst less what loans may add to it.
double
SplitBurst(const TenantLimit& aLimit);

// The members of a zone that hold a part. Never empty unless aMembers is.
std::vector<std::string>
HoldersOf(const TenantLimit& aLimit,
          size_t aZones,
          const std::vector<std::string>& aMembers);

// Share of the burst that routes of aPriority leave for more urgent ones of the
// tenant. A tenant in overload would otherwise spend its limit in order of
// arrival, mostly on the least urgent requests; with the reserve, its urgent
// routes find tokens while the others wait.
double
ReserveFor(int aPriority, int aLeastUrgent);

} // namespace caraway

#endif
