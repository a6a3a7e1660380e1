// RegionRule.h: the regions that a request may reach, by its route and its
// tenant.
#ifndef caraway_decide_RegionRule_h
#define caraway_decide_RegionRule_h

#include <map>
#include <optional>
#include <set>
#include <string>

namespace caraway {

class RegionRule
{
public:
  // By zone.
  using Regions = std::map<std::string, std::string>;

  RegionRule() = default; // permits everything
  // aRoute and aTenant: the permitted regions; an empty set permits all. Both
  // sets apply. aRegionOfZone must outlive this object.
  RegionRule(const Regions& aRegionOfZone,
             const std::set<std::string>& aRoute,
             const std::set<std::string>& aTenant);

  bool Restricts() const { return mPermitted.has_value(); }
  // Whether the request may reach servers of aZone. A zone whose region isn't
  // known is permitted only to requests without a restriction.
  bool PermitsServers(const std::string& aZone) const;
  // Whether an instance of aZone may receive the request's body. aOwnZone: the
  // zone of the caller's own instance.
  bool PermitsInstance(const std::string& aZone,
                       const std::string& aOwnZone) const;
  // Those of aZones whose servers the request must not reach.
  std::set<std::string> ExcludedZones(
    const std::set<std::string>& aZones) const;

private:
  // Null if the zone's region isn't known.
  const std::string* RegionOf(const std::string& aZone) const;

  const Regions* mRegionOfZone = nullptr;
  std::optional<std::set<std::string>> mPermitted; // nothing = all regions
};

} // namespace caraway

#endif
