// RetrySchedule.h: retry times given to refused requests.
//
// With a retry-after time derived from the queue length alone, all requests
// refused in a burst would retry at the same moment, together with new ones,
// and most would be refused again. So each refused request gets its own retry
// time, and capacity is reserved for it against new requests. A retry is
// recognized by the digest of the request, which is the same when a client
// sends it again; clients need no support for this. Several callers may send
// the same request: each has a reservation, and the first to return takes the
// earliest.
#ifndef caraway_decide_RetrySchedule_h
#define caraway_decide_RetrySchedule_h

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "caraway/Time.h"

namespace caraway {

class RetrySchedule
{
public:
  void Add(const std::string& aTenant,
           uint64_t aRequestDigest,
           double aTokens,
           TimePoint aDue);
  // Earliest retry time given to requests with this digest.
  std::optional<TimePoint> FirstDue(const std::string& aTenant,
                                    uint64_t aRequestDigest) const;
  // Removes the earliest reservation with this digest; its caller has returned.
  void Consume(const std::string& aTenant,
               uint64_t aRequestDigest,
               TimePoint aNow);
  // Observed probability that the tenant's callers return at their retry time;
  // 0 without reservations. Only this fraction of the reserved tokens counts,
  // since callers that never return must not leave the engines idle.
  double ReturnProbability(const std::string& aTenant) const;
  // Tokens expected of retries that are due before aUntil.
  double Tokens(const std::string& aTenant, TimePoint aUntil) const;
  // The same of all other tenants, with at most aMaxPerTenant for each.
  double OthersTokens(const std::string& aTenant,
                      TimePoint aUntil,
                      double aMaxPerTenant) const;
  // Drops the reservations of callers that didn't return in time, and what was
  // observed of tenants long ago.
  void Expire(TimePoint aNow);

private:
  struct TenantRetries
  {
    // Digest and tokens by due time.
    std::multimap<TimePoint, std::pair<uint64_t, double>> mDue;
    std::map<uint64_t, std::set<TimePoint>> mDueByDigest; // due times by digest
    void EraseFirst(uint64_t aRequestDigest);
  };
  // Observed share of a tenant's callers that return.
  struct ReturnRate
  {
    double mRate;
    TimePoint mObservedAt{};
  };
  double Sum(const std::string& aTenant,
             const TenantRetries& aRetries,
             TimePoint aUntil) const;
  void UpdateReturnRate(const std::string& aTenant,
                        bool aReturned,
                        TimePoint aNow);

  std::map<std::string, TenantRetries> mTenants;  // by tenant
  std::map<std::string, ReturnRate> mReturnRates; // by tenant
};

} // namespace caraway

#endif
