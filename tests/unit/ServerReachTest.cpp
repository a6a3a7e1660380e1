// A partition from all servers, told from servers that fail.

#include <gtest/gtest.h>

#include "decide/ServerReach.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

} // namespace

TEST(ServerReach, SeveralServersWithoutOneThatIsReached)
{
  ServerReach reach;
  reach.OnUnreached("a", kStart);
  reach.OnUnreached("b", kStart);
  EXPECT_FALSE(reach.CutOff());
  reach.OnUnreached("c", kStart + Millis(700));
  EXPECT_TRUE(reach.CutOff());
}

// Guards against a broken server, tried by one request after the other, that
// looks like a partition.
TEST(ServerReach, OneServerAgainAndAgainIsNoPartition)
{
  ServerReach reach;
  for (int i = 0; i < 20; ++i) {
    reach.OnUnreached("a", kStart + Millis(i));
  }
  EXPECT_FALSE(reach.CutOff());
}

// Guards against crashes minutes apart that add up to a partition.
TEST(ServerReach, FailuresFarApartAreNoPartition)
{
  ServerReach reach;
  for (int i = 0; i < 20; ++i) {
    reach.OnUnreached("s" + std::to_string(i), kStart + Seconds(3) * i);
  }
  EXPECT_FALSE(reach.CutOff());
}

TEST(ServerReach, LastsUntilAServerIsReached)
{
  ServerReach reach;
  for (const char* server : { "a", "b", "c" }) {
    reach.OnUnreached(server, kStart);
  }
  reach.OnUnreached("a", kStart + Seconds(60));
  EXPECT_TRUE(reach.CutOff());
  reach.OnReached();
  EXPECT_FALSE(reach.CutOff());
  reach.OnUnreached("a", kStart + Seconds(60));
  EXPECT_FALSE(reach.CutOff());
}

} // namespace caraway
