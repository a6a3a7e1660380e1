// One request is traced through the logs of instances whose clocks differ.

#include <gtest/gtest.h>

#include "ctl/RequestTrace.h"

namespace caraway {

namespace {

std::string
Line(const char* aInstance, int aAt, const char* aEvent, const char* aMore)
{
  return "{\"at\":" + std::to_string(1000000 + aAt) +
         ",\"up_ms\":" + std::to_string(aAt) + ",\"instance\":\"" + aInstance +
         "\",\"event\":\"" + aEvent + "\"" + aMore + "}\n";
}

std::vector<std::string>
EventsOf(const RequestTrace& aTrace)
{
  std::vector<std::string> events;
  for (const TraceLine& line : aTrace.Lines()) {
    events.push_back(line.mLine["event"].asString());
  }
  return events;
}

} // namespace

// The lease holder's clock is 700 ms ahead. Ordered by time alone, the trace
// would show the load's end after the request that waited for it.
TEST(RequestTrace, OrdersCausesBeforeEffectsDespiteClockSkew)
{
  RequestTrace trace("r1");
  trace.Read(Line("a", 0, "request_waits", ",\"id\":\"r1\",\"model\":\"m\"") +
             Line("a",
                  400,
                  "request_sent",
                  ",\"id\":\"r1\",\"model\":\"m\",\"server\":\"s\"") +
             Line("a", 500, "request_done", ",\"id\":\"r1\",\"status\":200") +
             Line("a", 100, "request_sent", ",\"id\":\"r2\",\"model\":\"m\""));
  trace.Read(
    Line("b", 710, "place_decided", ",\"model\":\"m\",\"server\":\"s\"") +
    Line("b", 1090, "place_ended", ",\"model\":\"m\",\"server\":\"s\"") +
    Line("b", 720, "place_decided", ",\"model\":\"other\"") +
    "not json\n{\"event\":7}\n");
  std::vector<std::string> expected = { "request_waits",
                                        "place_decided",
                                        "place_ended",
                                        "request_sent",
                                        "request_done" };
  EXPECT_EQ(expected, EventsOf(trace));
}

TEST(RequestTrace, ShowsOnlyRelatedLines)
{
  RequestTrace trace("r1");
  trace.Read(
    Line("a",
         0,
         "request_sent",
         ",\"id\":\"r1\",\"server\":\"s\",\"tenant\":\"t\"") +
    Line("a", 50, "server_broke", ",\"id\":\"r1\",\"server\":\"s\"") +
    Line("b", 51, "server_broke", ",\"id\":\"r9\",\"server\":\"s\"") +
    Line("b", 52, "server_broke", ",\"id\":\"r9\",\"server\":\"else\"") +
    Line("b", 90000, "server_gone", ",\"server\":\"s\""));
  std::vector<std::string> expected = { "request_sent",
                                        "server_broke",
                                        "server_broke" };
  EXPECT_EQ(expected, EventsOf(trace));
  EXPECT_NE(std::string::npos, RequestTrace("r7").Text().find("no line"));
}

} // namespace caraway
