// LeaseClaims.h: who claims to hold which lease, as heard from the holders.
//
// The load that it is designed for: hundreds of instances, of which few hold a
// lease, and one of these is killed or cut off. A heartbeat reaches each of
// them seconds after the other, so holders repeat their claims by messages of
// their own, and a claim that isn't repeated soon lapses: believed for as long
// as an instance may be silent in a large fleet, it would leave a zone without
// orders for a minute. Claims are hints: the store decides who holds a lease.
#ifndef caraway_decide_LeaseClaims_h
#define caraway_decide_LeaseClaims_h

#include <map>
#include <set>
#include <string>

#include "caraway/Time.h"

namespace caraway {

class LeaseClaims
{
public:
  // A heartbeat of aInstance, which claims all of aLeases and no others.
  void OnHeartbeat(const std::string& aInstance,
                   const std::set<std::string>& aLeases,
                   TimePoint aNow);
  // aInstance claims aLease; it may claim others.
  void OnClaim(const std::string& aInstance,
               const std::string& aLease,
               TimePoint aNow);
  // aInstance has left or restarted.
  void Forget(const std::string& aInstance);

  // The instance that claimed aLease last, if within aLife; "" = none.
  std::string HolderOf(const std::string& aLease,
                       Millis aLife,
                       TimePoint aNow) const;

private:
  struct Claim
  {
    std::string mInstance;
    TimePoint mAt{};
  };
  std::map<std::string, Claim> mClaims; // by lease
};

} // namespace caraway

#endif
