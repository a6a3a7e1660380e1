// TenantTokens.h: a tenant's rate and burst, split between the instances and
// a keeper in each zone.
//
// The load it answers: requests of about a thousand tokens that reach the
// instances unevenly, from tenants that mostly stay under their limit. Half
// of rate and burst is split evenly: an instance spends its part without
// asking anybody, and what it doesn't need it gives to its zone's keeper, so
// that it isn't lost to those who do. The other half lies in buckets at the
// zones' keepers, debited before the asking instance may spend; one that its
// own keeper refuses asks the next. The parts sum up to the whole, so the limit
// holds whoever is cut off or gone; only a zone's part of the half is missing
// then.
#ifndef caraway_decide_TenantTokens_h
#define caraway_decide_TenantTokens_h

#include <map>
#include <string>

#include "decide/ServingConfig.h"
#include "decide/TokenBucket.h"

namespace caraway {

// Buckets for all tenants of one place, at aShare of their limits.
class TenantBuckets
{
public:
  // Takes aTokens, or nothing; never the last aReserve of the burst. With
  // aLends, a full bucket lends what a request costs
  // beyond the whole burst: it could never pass otherwise, and its tenant
  // pays with the seconds that follow.
  bool Take(const TenantLimit& aLimit,
            double aShare,
            double aTokens,
            double aReserve,
            bool aLends,
            TimePoint aNow);
  // aTokens that were taken at aTakenAt aren't used. What the bucket would
  // have spilled meanwhile doesn't come back.
  void GiveBack(const std::string& aTenant,
                double aTokens,
                TimePoint aTakenAt,
                TimePoint aNow);
  // Takes what an even part that is hardly used can do without; 0 = nothing.
  double TakeSpare(const TenantLimit& aLimit, double aShare, TimePoint aNow);
  // Adds aTokens that another place took.
  void Add(const TenantLimit& aLimit,
           double aShare,
           double aTokens,
           TimePoint aNow);
  // Begins to fill the bucket, if there is none yet.
  void Prepare(const TenantLimit& aLimit, double aShare, TimePoint aNow);
  // Until Take() may succeed.
  Millis Until(const std::string& aTenant,
               double aTokens,
               double aReserve,
               TimePoint aNow);

private:
  TokenBucket& Bucket(const TenantLimit& aLimit, double aShare, TimePoint aNow);

  std::map<std::string, TokenBucket> mBuckets;
};

// The part of the burst that a stream leaves for more urgent ones of its
// tenant. A tenant that asks for more than its limit would otherwise spend it
// on whatever comes first, mostly on what is least urgent; so its urgent routes
// find tokens while the others wait.
double
ReserveFor(int aPriority, int aLeastUrgent);

// Of rate and burst: the part that is split evenly between instances. None
// where an even part couldn't pay a usual request.
double
EvenShare(const TenantLimit& aLimit, int aInstances);
double
KeeperShare(const TenantLimit& aLimit, int aInstances, size_t aZones);

} // namespace caraway

#endif
