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
  reach.OnUnreached("a", true, kStart);
  reach.OnUnreached("b", true, kStart);
  EXPECT_FALSE(reach.CutOff());
  reach.OnUnreached("c", true, kStart + Millis(700));
  EXPECT_TRUE(reach.CutOff());
}

// Guards against a broken server, tried by one request after the other, that
// looks like a partition.
TEST(ServerReach, OneServerAgainAndAgainIsNoPartition)
{
  ServerReach reach;
  for (int i = 0; i < 20; ++i) {
    reach.OnUnreached("a", true, kStart + Millis(i));
  }
  EXPECT_FALSE(reach.CutOff());
}

// Guards against crashes minutes apart that add up to a partition.
TEST(ServerReach, FailuresFarApartAreNoPartition)
{
  ServerReach reach;
  for (int i = 0; i < 20; ++i) {
    reach.OnUnreached("s" + std::to_string(i), true, kStart + Seconds(3) * i);
  }
  EXPECT_FALSE(reach.CutOff());
}

TEST(ServerReach, LastsUntilAServerIsReached)
{
  ServerReach reach;
  for (const char* server : { "a", "b", "c" }) {
    reach.OnUnreached(server, true, kStart);
  }
  reach.OnUnreached("a", true, kStart + Seconds(60));
  EXPECT_TRUE(reach.CutOff());
  reach.OnReached();
  EXPECT_FALSE(reach.CutOff());
  reach.OnUnreached("a", true, kStart + Seconds(60));
  EXPECT_FALSE(reach.CutOff());
}

// Guards against a zone that is cut off from the others and takes itself for
// cut off from all servers, though it reaches its own.
TEST(ServerReach, FarServersAloneAreNoPartition)
{
  ServerReach reach;
  for (const char* server : { "a", "b", "c", "d" }) {
    reach.OnUnreached(server, false, kStart);
  }
  EXPECT_FALSE(reach.CutOff());
  reach.OnUnreached("near", true, kStart);
  EXPECT_TRUE(reach.CutOff());
}

} // namespace caraway
