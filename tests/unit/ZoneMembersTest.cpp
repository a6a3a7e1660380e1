#include <gtest/gtest.h>

#include "decide/ZoneMembers.h"

namespace caraway {

namespace {

constexpr int kPeers = 59;
constexpr Millis kHeartbeatInterval{ 9250 }; // of one peer, among 295 instances

const TimePoint kStart{ Seconds(1000) };

std::vector<MemberEntry>
Entries()
{
  std::vector<MemberEntry> entries{ { "self", 1, true, false } };
  for (int i = 0; i < kPeers; ++i) {
    entries.push_back({ "p" + std::to_string(i), 1, true, false });
  }
  return entries;
}

// An instance of a large zone that has just joined and seen its entry, and has
// heard from no peer yet.
ZoneMembers
JustListed()
{
  ZoneMembers members("self");
  members.SetHeartbeatInterval(kHeartbeatInterval);
  members.OnJoined(true, kStart);
  members.OnListed(Entries(), kStart, kStart);
  return members;
}

// Guards against a start of a large zone in which every instance reads the list
// each second until it has heard from half of its peers.
TEST(ZoneMembers, EntryThatWasJustSeenNeedsNoOtherList)
{
  ZoneMembers members = JustListed();
  ASSERT_TRUE(members.MaySpend(kStart));
  EXPECT_FALSE(members.NeedsStore(kStart));
  EXPECT_FALSE(members.NeedsStore(kStart + kHeartbeatInterval));
}

// Guards against an instance that reads the list only once its right to spend
// has expired.
TEST(ZoneMembers, ListIsNeededBeforeTheRightToSpendExpires)
{
  ZoneMembers members = JustListed();
  TimePoint at = kStart;
  while (!members.NeedsStore(at)) {
    at += Millis(100);
  }
  constexpr Seconds kTimeToRead{ 10 };
  EXPECT_TRUE(members.MaySpend(at + kTimeToRead));
}

// Guards against calls to the store by instances that a majority hears from.
TEST(ZoneMembers, MajorityThatIsHeardNeedsNoList)
{
  ZoneMembers members = JustListed();
  TimePoint later = kStart;
  for (int round = 0; round < 6; ++round) {
    later += kHeartbeatInterval;
    for (int i = 0; i < kPeers; ++i) {
      members.OnHeartbeat(
        "p" + std::to_string(i), MemberHeartbeat{ true, {} }, later);
    }
  }
  EXPECT_FALSE(members.NeedsStore(later));
}

} // namespace

} // namespace caraway
