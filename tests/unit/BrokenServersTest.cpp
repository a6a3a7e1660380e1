// Which servers ended, as one instance sees it by its own connections.

#include <gtest/gtest.h>

#include "decide/BrokenServers.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };
const ServerLife kLife{ "s1", 7 };

} // namespace

TEST(BrokenServers, RunsOfOneCrashAreOneReport)
{
  BrokenServers servers;
  servers.OnBroken(kLife, { "a", "b" }, kStart);
  servers.OnBroken(kLife, { "b", "c" }, kStart + Millis(5));
  servers.OnBroken(kLife, {}, kStart + Millis(6)); // had been answering
  EXPECT_TRUE(servers.TakeReports(kStart + Millis(10)).empty());
  auto reports = servers.TakeReports(kStart + Millis(40));
  ASSERT_EQ(1u, reports.size());
  EXPECT_EQ("s1@7", reports[0].mCrash.mCrash);
  EXPECT_EQ(kStart, reports[0].mCrash.mAt);
  EXPECT_EQ((std::set<std::string>{ "a", "b", "c" }), reports[0].mParts);
  EXPECT_TRUE(servers.TakeReports(kStart + Millis(80)).empty());
}

// Guards against a stream that breaks off alone taken for the end of its
// server.
TEST(BrokenServers, ServerThatSendsMoreHasNotEnded)
{
  BrokenServers servers;
  servers.OnBroken(kLife, { "a" }, kStart);
  // Bytes that were on their way as it ended.
  EXPECT_FALSE(servers.OnBytes(kLife, kStart - Seconds(1), kStart + Millis(5)));
  EXPECT_TRUE(
    servers.OnBytes(kLife, kStart - Seconds(1), kStart + Millis(150)));
  EXPECT_TRUE(servers.TakeReports(kStart + Millis(200)).empty());
}

TEST(BrokenServers, WhatComesLateMayBeTheNextProcess)
{
  BrokenServers servers;
  servers.OnBroken(kLife, { "a" }, kStart);
  EXPECT_FALSE(
    servers.OnBytes(kLife, kStart + Seconds(1), kStart + Seconds(2)));
  EXPECT_EQ(1u, servers.TakeReports(kStart + Seconds(2)).size());
}

// Guards against a crash that isn't counted, as bytes from before it came late.
TEST(BrokenServers, RefutedEndCountsOnceItIsListed)
{
  BrokenServers servers;
  servers.OnBroken(kLife, { "a" }, kStart);
  ASSERT_EQ(1u, servers.TakeReports(kStart + Millis(40)).size());
  EXPECT_TRUE(
    servers.OnBytes(kLife, kStart - Seconds(1), kStart + Millis(250)));
  servers.OnEnded("s1@7", std::nullopt, kStart + Seconds(3));
  auto reports = servers.TakeReports(kStart + Seconds(3));
  ASSERT_EQ(1u, reports.size());
  EXPECT_EQ("s1@7+", reports[0].mCrash.mCrash);
  EXPECT_EQ(kStart, reports[0].mCrash.mAt);
  EXPECT_EQ(std::set<std::string>{ "a" }, reports[0].mParts);
}

// Guards against crashes unnoticed, as answers without a length look whole.
TEST(BrokenServers, UnsureEndCountsOnceTheServerIsKnownToHaveEnded)
{
  BrokenServers servers;
  servers.OnUnsureEnd(kLife, { "old" }, kStart);
  servers.OnUnsureEnd(kLife, { "a" }, kStart + Seconds(1));
  EXPECT_TRUE(servers.TakeReports(kStart + Seconds(2)).empty());
  servers.OnEnded("s1@7", std::nullopt, kStart + Seconds(3));
  auto reports = servers.TakeReports(kStart + Seconds(3));
  ASSERT_EQ(1u, reports.size());
  EXPECT_EQ(std::set<std::string>{ "a" }, reports[0].mParts);
}

// Guards against requests that reached no server, since it had ended, taken for
// those that made it end.
TEST(BrokenServers, RequestsAfterTheEndAreNotPartOfIt)
{
  BrokenServers servers;
  servers.OnBroken(kLife, { "a" }, kStart);
  ASSERT_EQ(1u, servers.TakeReports(kStart + Millis(40)).size());
  servers.OnBroken(kLife, { "b" }, kStart + Millis(500));
  servers.OnUnsureEnd(kLife, { "c" }, kStart + Millis(600));
  EXPECT_TRUE(servers.TakeReports(kStart + Seconds(1)).empty());
}

// Guards against the end of a server that one instance believes in, though it
// goes on answering others.
TEST(BrokenServers, EndThatAnotherInstanceTellsOfIsRefuted)
{
  BrokenServers servers;
  servers.OnEnded("s1@7", kStart, kStart + Millis(50));
  EXPECT_TRUE(
    servers.OnBytes(kLife, kStart - Seconds(1), kStart + Millis(150)));
  EXPECT_TRUE(servers.TakeReports(kStart + Seconds(1)).empty());
}

// Guards against a server that breaks stream after stream and goes on, believed
// to have ended where nobody sees it answer for a moment.
TEST(BrokenServers, ServerThatWentOnBeforeNeedsTheListToHaveEnded)
{
  BrokenServers servers;
  servers.OnRefuted("s1@7", kStart);
  servers.OnBroken(kLife, { "a" }, kStart + Seconds(1));
  EXPECT_TRUE(servers.TakeReports(kStart + Seconds(2)).empty());
  servers.OnEnded("s1@7", kStart + Seconds(1), kStart + Seconds(2)); // told
  EXPECT_TRUE(servers.TakeReports(kStart + Seconds(2)).empty());
  servers.OnEnded("s1@7", std::nullopt, kStart + Seconds(3)); // listed
  auto reports = servers.TakeReports(kStart + Seconds(3));
  ASSERT_EQ(1u, reports.size());
  EXPECT_EQ("s1@7+", reports[0].mCrash.mCrash); // not the refuted one
}

TEST(BrokenServers, UnsureEndAtAnotherTimeIsNoCrash)
{
  BrokenServers servers;
  servers.OnUnsureEnd(kLife, { "a" }, kStart);
  servers.OnEnded("s1@7", kStart + Seconds(2), kStart + Seconds(2));
  EXPECT_TRUE(servers.TakeReports(kStart + Seconds(3)).empty());
}

TEST(BrokenServers, IsEmptyAgainAfterAWhile)
{
  BrokenServers servers;
  for (int i = 0; i < 1000; ++i) {
    servers.OnUnsureEnd({ "s" + std::to_string(i), 1 }, { "a" }, kStart);
    servers.OnBroken({ "t" + std::to_string(i), 1 }, { "a" }, kStart);
  }
  EXPECT_LE(servers.TakeReports(kStart + Seconds(1)).size(), 256u);
  servers.TakeReports(kStart + Seconds(10));
  EXPECT_TRUE(servers.Empty());
}

} // namespace caraway
