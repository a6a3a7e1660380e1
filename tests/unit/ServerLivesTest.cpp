// Which servers had a former life whose orders may still come.

#include <gtest/gtest.h>

#include "decide/LateOrders.h"
#include "decide/ServerLives.h"

namespace caraway {

namespace {

constexpr TimePoint kStart{ Seconds(1000) };
constexpr WallTime kWallStart{ Seconds(1700000000) };

// Longer than orders may be late and restarts unnoticed.
constexpr Millis kLong = LateOrders::kMaxOrderDelay + Seconds(10);

class ServerLivesTest : public ::testing::Test
{
protected:
  // Start times are given as seconds before kStart, by the wall clock.
  void List(const std::string& aServer, Seconds aAge)
  {
    auto born = (kWallStart - aAge).time_since_epoch();
    mLives.OnListed(aServer,
                    std::chrono::duration_cast<Millis>(born).count(),
                    kStart + mAfter);
  }
  std::optional<FormerLife> Former(const std::string& aServer)
  {
    return mLives.Former(aServer, kStart + mAfter, kWallStart + mAfter);
  }

  ServerLives mLives;
  Millis mAfter{ 0 };
};

} // namespace

TEST_F(ServerLivesTest, RestartUnderTheSameIdIsRemembered)
{
  List("s1", Seconds(600));
  mAfter = kLong;
  List("s1", Seconds(0));
  EXPECT_TRUE(Former("s1"));
  mAfter += kLong;
  EXPECT_FALSE(Former("s1"));
}

// Guards against a restart that isn't noticed because the server wasn't listed
// between its two lives.
TEST_F(ServerLivesTest, RestartOfAnUnlistedServerIsRemembered)
{
  List("s1", Seconds(600));
  mAfter = kLong;
  mLives.OnUnlisted("s1", kStart + mAfter);
  mAfter += Seconds(5);
  List("s1", Seconds(0));
  EXPECT_TRUE(Former("s1"));
}

// Guards against room that is kept at servers that are simply new: they would
// be left half empty after each release and after each crash of many servers.
TEST_F(ServerLivesTest, NewServerHadNoFormerLife)
{
  List("s1", Seconds(600));
  mAfter = kLong;
  List("s2", Seconds(0));
  EXPECT_TRUE(mLives.Known("s2"));
  EXPECT_FALSE(Former("s2"));
}

// Guards against a new process that takes a restarted server for a new one.
TEST_F(ServerLivesTest, ProcessThatJustStartedAssumesOneBeforeAYoungLife)
{
  List("old", Seconds(600));
  List("young", Seconds(3));
  EXPECT_FALSE(Former("old"));
  EXPECT_TRUE(Former("young"));
  mAfter = kLong;
  EXPECT_FALSE(Former("young"));
}

TEST_F(ServerLivesTest, ProcessThatIsToldKnows)
{
  List("s1", Seconds(3));
  List("s2", Seconds(3));
  int64_t born =
    std::chrono::duration_cast<Millis>(kWallStart.time_since_epoch()).count() -
    3000;
  mLives.OnTold("s1", born - 1, std::nullopt); // of another life
  EXPECT_TRUE(Former("s1"));
  mLives.OnTold("s1", born, std::nullopt);
  EXPECT_FALSE(Former("s1"));
  mLives.OnTold("s2", born, FormerLife{ kStart, 7, 9 });
  EXPECT_EQ(7, Former("s2")->mLowestCount);
}

TEST_F(ServerLivesTest, NothingWasOrderedBeforeTheFirstStart)
{
  mLives.OnFirstStart();
  List("s1", Seconds(0));
  EXPECT_FALSE(Former("s1"));
}

// Guards against room kept at counts that no late order can have: after a long
// life these are far above those of the next one.
TEST_F(ServerLivesTest, LateOrdersHaveTheCountsOfTheirTime)
{
  List("s1", Seconds(600));
  mLives.OnOrderCount("s1", 40, kStart);
  mAfter = kLong;
  mLives.OnOrderCount("s1", 60, kStart + mAfter);
  mAfter += Seconds(1);
  List("s1", Seconds(-30));
  EXPECT_EQ(40, Former("s1")->mLowestCount);
  EXPECT_LE(60, Former("s1")->mHighestCount);
  EXPECT_GE(70, Former("s1")->mHighestCount);
  mAfter += Seconds(1); // and again: those of both lives may come
  List("s1", Seconds(-31));
  EXPECT_EQ(0, Former("s1")->mLowestCount);
  EXPECT_LE(60, Former("s1")->mHighestCount);
}

// Guards against a limit taken from a count that was never known here.
TEST_F(ServerLivesTest, CountOfALifeThatNobodyToldIsNotLimited)
{
  List("s1", Seconds(600));
  mAfter = kLong;
  List("s1", Seconds(-30));
  EXPECT_LE(1000000, Former("s1")->mHighestCount);
}

} // namespace caraway
