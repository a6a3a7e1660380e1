// The regions that a request and its body may reach.

#include <gtest/gtest.h>

#include "decide/RegionRule.h"

namespace caraway {

namespace {

using Names = std::set<std::string>;

const RegionRule::Regions kRegions = { { "a", "north" },
                                       { "b", "north" },
                                       { "c", "south" },
                                       { "d", "west" } };

const Names kZones = { "a", "b", "c", "d", "unknown" };

Names
Excluded(const Names& aRoute, const Names& aTenant)
{
  return RegionRule(kRegions, aRoute, aTenant).ExcludedZones(kZones);
}

} // namespace

TEST(RegionRule, RouteAndTenantBothApply)
{
  EXPECT_EQ(Names{}, Excluded({}, {}));
  EXPECT_FALSE(RegionRule(kRegions, {}, {}).Restricts());
  Names northOnly = { "c", "d", "unknown" };
  EXPECT_EQ(northOnly, Excluded({ "north" }, {}));
  EXPECT_EQ(northOnly, Excluded({}, { "north" }));
  EXPECT_EQ(northOnly, Excluded({ "north", "south" }, { "north", "west" }));
  EXPECT_EQ(kZones, Excluded({ "north" }, { "south" }));
  EXPECT_EQ(kZones, Excluded({ "" }, {})); // a list that couldn't be read
}

// Guards against a body that is forwarded to a region where no server may run
// its request.
TEST(RegionRule, BodiesStayInPermittedRegionsAndTheOwnOne)
{
  RegionRule rule(kRegions, { "south" }, {});
  EXPECT_TRUE(rule.PermitsInstance("c", "a"));
  EXPECT_TRUE(rule.PermitsInstance("b", "a")); // the caller's own region
  EXPECT_FALSE(rule.PermitsServers("b"));
  EXPECT_FALSE(rule.PermitsInstance("d", "a"));
  EXPECT_FALSE(rule.PermitsInstance("unknown", "a"));
  EXPECT_FALSE(rule.PermitsInstance("a", "unknown"));
  EXPECT_TRUE(rule.PermitsInstance("unknown", "unknown"));
  EXPECT_TRUE(RegionRule().PermitsInstance("unknown", "a"));
}

} // namespace caraway
