// Parts of prompts that crash servers: evidence, verdict, and its end.

#include <gtest/gtest.h>

#include "decide/CrashSuspects.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

class CrashSuspectsTest : public testing::Test
{
protected:
  // One crash a second with the part.
  void Crash(const std::string& aPart, int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      mNow += Seconds(1);
      mSuspects.OnCrash(
        aPart, { "c" + std::to_string(++mCrashes), mNow }, mNow);
    }
  }
  std::vector<std::string> Settle()
  {
    mNow += Seconds(1);
    return mSuspects.Update(mNow);
  }

  CrashSuspects mSuspects;
  TimePoint mNow = kStart;
  int mCrashes = 0;
};

} // namespace

TEST_F(CrashSuspectsTest, FourCrashesWithoutAGoodAnswerBlock)
{
  Crash("p", 3);
  EXPECT_TRUE(Settle().empty());
  EXPECT_TRUE(mSuspects.Suspected("p"));
  Crash("p");
  EXPECT_TRUE(mSuspects.Update(mNow).empty()); // others may know better
  EXPECT_EQ(std::vector<std::string>{ "p" }, Settle());
  EXPECT_TRUE(mSuspects.Blocks("p"));
  EXPECT_EQ(std::vector<std::string>{ "p" }, mSuspects.Guilty({ "x", "p" }));
}

TEST_F(CrashSuspectsTest, GoodAnswerClearsAllCrashesBefore)
{
  Crash("p", 3);
  EXPECT_EQ(3u, mSuspects.OnGoodAnswer("p").size());
  Crash("p", 3);
  EXPECT_TRUE(Settle().empty());
  EXPECT_TRUE(mSuspects.OnGoodAnswer("unknown").empty());
}

// Guards against a verdict by a rack that fails, or by one's own network.
TEST_F(CrashSuspectsTest, CrashesAtOneMomentCountAsOne)
{
  for (int i = 0; i < 10; ++i) {
    mSuspects.OnCrash("p", { "r" + std::to_string(i), mNow }, mNow);
    mNow += Millis(15);
  }
  EXPECT_TRUE(Settle().empty());
}

// Guards against one crash that counts twice, as two instances report it.
TEST_F(CrashSuspectsTest, OneCrashCountsOnce)
{
  for (int i = 0; i < 10; ++i) {
    mNow += Seconds(1);
    mSuspects.OnCrash("p", { "same", mNow }, mNow);
  }
  EXPECT_TRUE(Settle().empty());
  EXPECT_FALSE(mSuspects.Suspected("p"));
}

// Guards against a part that is blocked by chance while many servers end.
TEST_F(CrashSuspectsTest, MoreCrashesAreNeededAmongMany)
{
  for (int i = 0; i < 4; ++i) {
    Crash("other" + std::to_string(i), 5);
    Crash("p");
  }
  mSuspects.OnGoodAnswer("other0");
  Settle();
  EXPECT_FALSE(mSuspects.Blocks("p"));
  Crash("p", 3);
  Settle();
  EXPECT_TRUE(mSuspects.Blocks("p"));
}

// Guards against news of a crash that arrive after it was cleared.
TEST_F(CrashSuspectsTest, ClearedCrashStaysCleared)
{
  mSuspects.OnCleared("p", { "c1", "c2" }, mNow);
  Crash("p", 5);
  EXPECT_TRUE(Settle().empty()); // three of them count
  PartEvidence told;
  told.mPart = "p";
  told.mBlocked = true;
  for (const char* crash : { "c1", "c2", "c3" }) {
    told.mCrashes.push_back({ crash, mNow });
  }
  EXPECT_EQ((std::vector<std::string>{ "c1", "c2" }),
            mSuspects.OnTold(told, mNow));
  EXPECT_FALSE(mSuspects.Blocks("p"));
}

TEST_F(CrashSuspectsTest, ServerThatLivesOnIsNoEvidence)
{
  Crash("p", 4);
  Settle();
  ASSERT_TRUE(mSuspects.Blocks("p"));
  mSuspects.OnVoid("c2");
  EXPECT_FALSE(mSuspects.Blocks("p"));
}

TEST_F(CrashSuspectsTest, VerdictIsTakenOverFromOthers)
{
  Crash("p", 4);
  Settle();
  CrashSuspects other;
  for (const PartEvidence& evidence : mSuspects.Evidence(10)) {
    other.OnTold(evidence, mNow);
  }
  EXPECT_TRUE(other.Blocks("p"));
  other.OnCleared("p", mSuspects.OnGoodAnswer("p"), mNow);
  EXPECT_FALSE(other.Blocks("p"));
}

// Guards against sound requests refused for a part that was in the same
// crashes as the guilty one.
TEST_F(CrashSuspectsTest, OneOfTwoPartsOfTheSameCrashesIsLetThrough)
{
  for (int i = 0; i < 5; ++i) {
    Crash("guilty");
    mSuspects.OnCrash("first", { "c" + std::to_string(mCrashes), mNow }, mNow);
  }
  Settle();
  EXPECT_EQ(2u, mSuspects.Guilty({ "first", "guilty" }).size());
  EXPECT_TRUE(mSuspects.Guilty({ "first", "x" }).empty());
  EXPECT_TRUE(mSuspects.Guilty({ "x", "guilty" }).empty());
  Crash("guilty"); // alone
  EXPECT_TRUE(mSuspects.Guilty({ "first", "x" }).empty());
  EXPECT_EQ(1u, mSuspects.Guilty({ "x", "guilty" }).size());
}

TEST_F(CrashSuspectsTest, ProbesAreFewAndFarBetween)
{
  Crash("p", 4);
  Settle();
  auto first = mSuspects.ProbeOf("p");
  ASSERT_TRUE(first);
  EXPECT_EQ(1, first->mNumber);
  EXPECT_GE(first->mAt - mNow, Seconds(10));
  mSuspects.OnProbe("p", 1);
  Crash("p");
  auto second = mSuspects.ProbeOf("p");
  ASSERT_TRUE(second);
  EXPECT_EQ(first->mFirstCrash, second->mFirstCrash);
  EXPECT_GE(second->mAt - mNow, Seconds(60));
  mSuspects.OnProbe("p", 2);
  EXPECT_FALSE(mSuspects.ProbeOf("p"));
}

// Guards against a probe that is one crash too many.
TEST_F(CrashSuspectsTest, ProbesCountAsCrashes)
{
  Crash("p", 7); // the two after the fifth come at once
  Settle();
  EXPECT_TRUE(mSuspects.ProbeOf("p"));
  for (int i = 0; i < 3; ++i) {
    mNow += Seconds(5);
    Crash("p");
  }
  EXPECT_FALSE(mSuspects.ProbeOf("p"));
}

// Guards against memory that grows with the parts that callers invent.
TEST_F(CrashSuspectsTest, MemoryIsBounded)
{
  Crash("guilty", 4);
  Settle();
  for (int i = 0; i < 20000; ++i) {
    mNow += Millis(1);
    std::string n = std::to_string(i);
    mSuspects.OnCrash("invented" + n, { "x" + n, mNow }, mNow);
  }
  EXPECT_LE(mSuspects.Size(), 1024u);
  EXPECT_TRUE(mSuspects.Blocks("guilty"));
  for (int i = 0; i < 1000; ++i) {
    Crash("guilty");
  }
  EXPECT_LE(mSuspects.Of("guilty")->mCrashes.size(), 12u);
}

TEST_F(CrashSuspectsTest, SuspicionFadesAndAVerdictDoesNot)
{
  Crash("guilty", 4);
  Crash("once");
  Settle();
  mNow += std::chrono::hours(2);
  mSuspects.Update(mNow);
  EXPECT_TRUE(mSuspects.Blocks("guilty"));
  EXPECT_EQ(1u, mSuspects.Size());
}

} // namespace caraway
