// RetrySchedule.h: when refused requests were told to come back.
//
// Told nothing but the queue's length, all that a burst has refused come back
// at one moment, beside what is new then, and most are refused again. So each
// is told a time of its own, and what is new may not have the room that is
// booked. One that comes back is known by what it asks for (mRequestDigest),
// which a client that tries again sends again; it needs to do nothing for it.
// Many callers may ask for the same: each has a booking, and whoever comes
// first takes the earliest.
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
  // When the first of those alike was told to come.
  std::optional<TimePoint> FirstDue(const std::string& aTenant,
                                    uint64_t aRequestDigest) const;
  // It has come: its room is its own now.
  void Consume(const std::string& aTenant, uint64_t aRequestDigest);
  // How likely the tenant's callers come when they were told to, as learnt; 0
  // when none is told to. Room is kept by this part only: callers that never
  // come back must not leave the engines idle.
  double ReturnProbability(const std::string& aTenant) const;
  // Of those due before aUntil.
  double Tokens(const std::string& aTenant, TimePoint aUntil) const;
  double OthersTokens(const std::string& aTenant,
                      TimePoint aUntil,
                      double aMaxPerTenant) const;
  // Those that didn't come: their room is free again.
  void Expire(TimePoint aNow);

private:
  struct TenantRetries
  {
    std::multimap<TimePoint, std::pair<uint64_t, double>> mDue; // like, tokens
    std::map<uint64_t, std::set<TimePoint>> mDueByDigest;       // when due
    void EraseFirst(uint64_t aRequestDigest);
  };
  double Sum(const std::string& aTenant,
             const TenantRetries& aRetries,
             TimePoint aUntil) const;
  void UpdateReturnRate(const std::string& aTenant, bool aReturned);

  std::map<std::string, TenantRetries> mTenants; // by tenant
  std::map<std::string, double>
    mReturnRates; // part that came, learnt; by tenant
};

} // namespace caraway

#endif
