#include <gtest/gtest.h>

#include <algorithm>

#include "decide/TokenHolders.h"

namespace caraway {

namespace {

constexpr size_t kZones = 5;
constexpr size_t kPerZone = 60;
constexpr size_t kTenants = 40;

std::vector<std::string>
Zones()
{
  std::vector<std::string> zones;
  for (size_t i = 0; i < kZones; ++i) {
    zones.push_back("z" + std::to_string(i));
  }
  return zones;
}

std::vector<std::string>
Members(const std::string& aZone, size_t aCount)
{
  std::vector<std::string> members;
  for (size_t i = 0; i < aCount; ++i) {
    members.push_back(aZone + "-entry-" + std::to_string(100 + i));
  }
  return members;
}

TenantLimit
Limit(size_t aTenant)
{
  TenantLimit limit;
  limit.mName = "tenant-" + std::to_string(aTenant);
  limit.mRate = 20000;
  limit.mBurst = 200000;
  return limit;
}

TokenHolders
Fleet(const std::string& aSelf)
{
  TokenHolders holders(aSelf, Zones());
  for (const std::string& zone : Zones()) {
    holders.SetMembers(zone, Members(zone, kPerZone));
  }
  return holders;
}

// What an instance asks for in one round over its tenants.
void
AskAll(TokenHolders& aHolders)
{
  for (size_t i = 0; i < kTenants; ++i) {
    aHolders.OwnPart(Limit(i));
    aHolders.Lenders(Limit(i), [](const std::string&) { return true; });
  }
}

// Guards against an instance of hundreds spending its core on ranking them for
// each tenant several times a second.
TEST(TokenHolders, UnchangedFleetIsNotRankedAgain)
{
  TokenHolders holders = Fleet("z0-entry-100");
  AskAll(holders);
  int64_t first = holders.Rankings();
  for (int i = 0; i < 100; ++i) {
    for (const std::string& zone : Zones()) {
      holders.SetMembers(zone, Members(zone, kPerZone));
    }
    AskAll(holders);
  }
  EXPECT_EQ(first, static_cast<int64_t>(kTenants * kZones));
  EXPECT_EQ(holders.Rankings(), first);
}

// Guards against a joining instance costing a ranking of all other zones.
TEST(TokenHolders, NewcomerIsRankedInItsZoneOnly)
{
  TokenHolders holders = Fleet("z0-entry-100");
  AskAll(holders);
  int64_t before = holders.Rankings();
  EXPECT_TRUE(holders.SetMembers("z3", Members("z3", kPerZone + 1)));
  AskAll(holders);
  EXPECT_EQ(holders.Rankings() - before, static_cast<int64_t>(kTenants));
}

// Guards against parts that add up to more than the limit, or to less.
TEST(TokenHolders, PartsAddUpToTheLimit)
{
  for (size_t tenant = 0; tenant < kTenants; ++tenant) {
    double sum = 0;
    for (const std::string& self : Members("z0", kPerZone)) {
      sum += Fleet(self).OwnPart(Limit(tenant));
    }
    EXPECT_NEAR(sum, 1.0 / kZones, 1e-9);
  }
}

// Guards against a changed limit or zone that is served from an old ranking.
TEST(TokenHolders, ChangesAreSeenAtOnce)
{
  TokenHolders holders = Fleet("z0-entry-100");
  TenantLimit limit = Limit(0);
  limit.mBurst = 1; // one holder a zone
  auto all = [](const std::string&) { return true; };
  ASSERT_LE(holders.Lenders(limit, all).size(), kZones);
  limit.mBurst = 1e9; // everyone
  EXPECT_EQ(holders.Lenders(limit, all).size(), kZones * kPerZone - 1);
  holders.SetMembers("z4", {});
  EXPECT_EQ(holders.Lenders(limit, all).size(), (kZones - 1) * kPerZone - 1);
}

// Guards against calls to instances that are gone, and to another zone while
// the own one can lend.
TEST(TokenHolders, LendersAreAliveAndOwnZoneFirst)
{
  TokenHolders holders = Fleet("z0-entry-110");
  TenantLimit limit = Limit(0);
  limit.mBurst = 1e9;
  auto lenders = holders.Lenders(
    limit, [](const std::string& aName) { return aName != "z0-entry-111"; });
  ASSERT_EQ(lenders.size(), kZones * kPerZone - 2);
  EXPECT_EQ(lenders.front(), "z0-entry-112"); // the next after itself
  EXPECT_TRUE(std::all_of(
    lenders.begin(),
    lenders.begin() + kPerZone - 2,
    [](const std::string& aName) { return aName.rfind("z0-", 0) == 0; }));
}

} // namespace

} // namespace caraway
