// TokenHolders.h: the holders of each tenant's tokens in each zone.
//
// The load that it is designed for: hundreds of instances and dozens of
// tenants, of which few change, while every instance looks at its parts several
// times a second and at its lenders with each request. Ranking a zone's
// instances costs time in proportion to their number, so a tenant's holders are
// ranked again only when the zone's members or the tenant's limit changed, and
// only when asked for.
#ifndef caraway_decide_TokenHolders_h
#define caraway_decide_TokenHolders_h

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decide/ServingConfig.h"

namespace caraway {

class TokenHolders
{
public:
  // aZones: all zones of the deployment, this instance's own first.
  TokenHolders(std::string aSelf, std::vector<std::string> aZones);

  // Sets the instances of aZone. Returns whether they differ from before.
  bool SetMembers(const std::string& aZone, std::vector<std::string> aMembers);

  // This instance's part of aLimit, 0 to 1.
  double OwnPart(const TenantLimit& aLimit);
  // The other holders that aAlive accepts: those of the own zone first. Within
  // a zone each instance starts with a different one, so that not all request
  // loans of the same lender.
  std::vector<std::string> Lenders(
    const TenantLimit& aLimit,
    const std::function<bool(const std::string&)>& aAlive);

  // How often the holders of a tenant in a zone were ranked so far.
  int64_t Rankings() const { return mRankings; }

private:
  struct Ranked
  {
    TenantLimit mLimit; // that mHolders were ranked for
    uint64_t mVersion = 0;
    std::vector<std::string> mHolders;
  };
  struct Zone
  {
    std::string mName;
    std::vector<std::string> mMembers;
    uint64_t mVersion = 1; // of mMembers
    std::map<std::string, Ranked> mByTenant;
  };
  const std::vector<std::string>& Holders(Zone& aZone,
                                          const TenantLimit& aLimit);

  std::string mSelf;
  std::vector<Zone> mZones;
  int64_t mRankings = 0;
};

} // namespace caraway

#endif
