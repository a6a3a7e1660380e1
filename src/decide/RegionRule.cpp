#include "decide/RegionRule.h"

#include <algorithm>
#include <iterator>

namespace caraway {

RegionRule::RegionRule(const Regions& aRegionOfZone,
                       const std::set<std::string>& aRoute,
                       const std::set<std::string>& aTenant)
  : mRegionOfZone(&aRegionOfZone)
{
  if (aRoute.empty() && aTenant.empty()) {
    return;
  }
  if (aRoute.empty() || aTenant.empty()) {
    mPermitted = aRoute.empty() ? aTenant : aRoute;
    return;
  }
  mPermitted.emplace();
  std::set_intersection(aRoute.begin(),
                        aRoute.end(),
                        aTenant.begin(),
                        aTenant.end(),
                        std::inserter(*mPermitted, mPermitted->end()));
}

const std::string*
RegionRule::RegionOf(const std::string& aZone) const
{
  auto found = mRegionOfZone->find(aZone);
  bool known = found != mRegionOfZone->end() && !found->second.empty();
  return known ? &found->second : nullptr;
}

bool
RegionRule::PermitsServers(const std::string& aZone) const
{
  if (!mPermitted) {
    return true;
  }
  const std::string* region = RegionOf(aZone);
  return region && mPermitted->count(*region) > 0;
}

bool
RegionRule::PermitsInstance(const std::string& aZone,
                            const std::string& aOwnZone) const
{
  if (aZone == aOwnZone || PermitsServers(aZone)) {
    return true;
  }
  const std::string* region = RegionOf(aZone);
  const std::string* own = RegionOf(aOwnZone);
  return region && own && *region == *own;
}

std::set<std::string>
RegionRule::ExcludedZones(const std::set<std::string>& aZones) const
{
  std::set<std::string> excluded;
  for (const std::string& zone : aZones) {
    if (!PermitsServers(zone)) {
      excluded.insert(zone);
    }
  }
  return excluded;
}

} // namespace caraway
