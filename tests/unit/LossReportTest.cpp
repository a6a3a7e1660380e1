// Lost requests are reported from recorded log lines.

#include <gtest/gtest.h>

#include "ctl/LossReport.h"

namespace caraway {

namespace {

std::string
Line(int aMs, const std::string& aEvent, const std::string& aMore)
{
  return "  " + std::to_string(aMs) +
         " a-1 {\"at\":" + std::to_string(1700000000000 + aMs) +
         ",\"event\":\"" + aEvent + "\"" + aMore + "}\n";
}

} // namespace

TEST(LossReport, CountsByCauseRouteTenantAndMoment)
{
  LossReport report;
  report.Read(
    Line(0, "started", "") +
    Line(100,
         "request_refused",
         R"(,"id":"r1","route":"chat","tenant":"acme","why":"tenant's rate")") +
    Line(
      100, "request_done", R"(,"id":"r1","status":429,"why":"tenant's rate")") +
    Line(4100,
         "request_sent",
         R"(,"id":"r2","route":"chat","tenant":"acme","tokens":500,"send":1)") +
    Line(4200, "request_done", R"(,"id":"r2","status":0,"why":"caller left")") +
    Line(4300,
         "request_sent",
         R"(,"id":"r3","route":"chat","tenant":"acme","tokens":500,"send":1)") +
    Line(4400, "request_done", R"(,"id":"r3","status":200,"why":"served")"));
  std::string csv = report.Csv();
  EXPECT_NE(std::string::npos, csv.find("0,\"tenant's rate\",chat,acme,1\n"));
  EXPECT_NE(std::string::npos, csv.find("4,\"caller left\",chat,acme,1\n"));
  EXPECT_EQ(std::string::npos, csv.find("served"));
  EXPECT_EQ(0u, report.Unreadable());
}

TEST(LossReport, ReportsAdmittedTokensWhileTenantIsRefused)
{
  LossReport report;
  report.Read(
    Line(1000,
         "request_sent",
         R"(,"id":"r1","route":"x","tenant":"acme","tokens":500,"send":1)") +
    Line(
      1100, "tokens_refused", R"(,"tenant":"acme","tokens":1500,"rate":1000)"));
  EXPECT_NE(
    std::string::npos,
    report.Text().find("acme: 1 s, admitted 0.50 of the rate, requested 2.00"));
}

// Guards against a loss that counts twice, at the instance that forwards the
// request and at its peer, or without its route.
TEST(LossReport, ForwardedRequestCountsOnce)
{
  LossReport report;
  report.Read(
    Line(100,
         "request_forwarded",
         R"(,"id":"r1","route":"chat","tenant":"acme","tokens":500)") +
    Line(200,
         "request_done",
         R"(,"id":"r1","status":503,"why":"full","forwarded":true)") +
    Line(210,
         "request_done",
         R"(,"id":"r1","status":503,"why":"peer","forwarded":false)"));
  std::string csv = report.Csv();
  EXPECT_NE(std::string::npos, csv.find("\"peer\",chat,acme,1\n"));
  EXPECT_EQ(std::string::npos, csv.find("full"));
}

// Guards against a report that stops at an incomplete or foreign line.
TEST(LossReport, UnreadableLinesAreCountedAndSkipped)
{
  LossReport report;
  report.Read("no event\n{\"at\":1,\"eve\n{\"event\":7}\n{}\n" +
              Line(1, "started", ""));
  EXPECT_EQ(3u, report.Unreadable());
  EXPECT_EQ(1u, report.Events());
}

} // namespace caraway
