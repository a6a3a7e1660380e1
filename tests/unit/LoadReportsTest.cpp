// The exchange of servers' load reports between instances.

#include <gtest/gtest.h>

#include "base/JsonText.h"
#include "entry/LoadReports.h"

namespace caraway {

namespace {

const TimePoint kNow = TimePoint(Seconds(1000));

ServerView
Servers(int aCount)
{
  ServerView view;
  for (int i = 0; i < aCount; ++i) {
    BackendEntry entry;
    entry.mId = "server-" + std::to_string(i);
    entry.mService = "llm";
    view.Put(entry, kNow);
  }
  return view;
}

} // namespace

// Guards against reports that are lost on the way through an instance between,
// that get younger there, or that make datagrams large.
TEST(LoadReports, NewestAreHandedOnWithTheirAge)
{
  constexpr int kServers = 200;
  ServerView first = Servers(kServers);
  for (int i = 0; i < kServers; ++i) {
    TimePoint at = kNow - Millis(100 + i);
    first.OnLoadReport("server-" + std::to_string(i), { i, 1, 12, 2.5 }, at);
  }
  Json::Value sent = LoadReportsJson(first, kNow);
  EXPECT_EQ(8u, sent.size());
  EXPECT_LT(JsonWrite(sent).size(), 400u);
  ServerView second = Servers(kServers);
  EXPECT_EQ(0, ReadLoadReports(sent, Millis(50), second, kNow));
  TimePoint later = kNow + Millis(250);
  Json::Value relayed = LoadReportsJson(second, later);
  const Json::Value& report = relayed["server-7"];
  EXPECT_EQ(107 + 50 + 250, report[0].asInt());
  EXPECT_EQ(7, report[1].asInt());
  EXPECT_EQ(1, report[2].asInt());
  EXPECT_EQ(250, report[3].asInt());
  EXPECT_FALSE(relayed.isMember("server-8"));
  EXPECT_TRUE(second.ReportsPace("llm"));
}

// Guards against figures of a garbled message, and against an old report that
// takes the place of a newer one.
TEST(LoadReports, UnreadableAndOvertakenOnesHaveNoEffect)
{
  ServerView view = Servers(2);
  view.OnLoadReport("server-0", { 3, 0, 12, 1.0 }, kNow - Millis(10));
  for (const char* text : { R"({"server-1":[1,2,3]})",
                            R"({"server-1":["a",2,3,100]})",
                            R"({"server-1":[-1,2,3,100]})",
                            R"({"server-1":[99999,2,3,100]})",
                            R"({"server-1":[1,2,3,5]})" }) {
    Json::Value json = JsonParseOrEmpty(text);
    EXPECT_EQ(1, ReadLoadReports(json, Millis(0), view, kNow)) << text;
  }
  EXPECT_EQ(1, ReadLoadReports(Json::Value("text"), Millis(0), view, kNow));
  EXPECT_FALSE(view.Find("server-1")->mLoadReport);
  Json::Value old = JsonParseOrEmpty(R"({"server-0":[20,12,0,100]})");
  EXPECT_EQ(0, ReadLoadReports(old, Millis(0), view, kNow));
  EXPECT_EQ(3, view.Find("server-0")->mLoadReport->mRunning);
}

} // namespace caraway
