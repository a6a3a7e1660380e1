// Input from callers: keys, system fields, malformed heads, slow and chunked
// bodies.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

#include <Poco/Net/StreamSocket.h>

namespace caraway {

TEST(Callers, ServerGetsTheTenantButNotTheKey)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  TestCallPtr call = fleet.Call(0,
                                "/order/x",
                                "r1",
                                { { wire::kAuthorization, "Bearer key-globex" },
                                  { wire::kTenant, "acme" } });
  EXPECT_EQ(200, call->mStatus);
  for (auto& server : fleet.mPlain) {
    for (const ServerRun& run : server->mRuns) {
      EXPECT_EQ("globex", run.mTenant);
      EXPECT_EQ("", run.mKey);
    }
  }
}

TEST(Callers, UnknownKeyAndUnknownRouteAreRefused)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  EXPECT_EQ(
    401,
    fleet.Call(0, "/order/x", "r1", { { wire::kAuthorization, "Bearer no" } })
      ->mStatus);
  EXPECT_EQ(404, fleet.Call(0, "/nowhere/x", "r2")->mStatus);
  EXPECT_EQ(0, fleet.RunsOf("r1") + fleet.RunsOf("r2"));
}

// Guards against request smuggling by two lengths, a length beside chunks, a
// space before a colon or a bare line feed: refused, and nothing runs.
TEST(Callers, SmuggledRequestsAreRefused)
{
  std::string hidden = "POST /order/x HTTP/1.1\r\nHost: host\r\n"
                       "Attempt-Id: evil\r\nContent-Length: 0\r\n"
                       "Authorization: Bearer key-acme\r\n\r\n";
  for (const std::string& fields :
       { std::string("Content-Length: 0\r\nContent-Length: 200\r\n"),
         std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
         std::string("Content-Length : 200\r\n"),
         std::string("X: y\nContent-Length: 200\r\n"),
         std::string("Transfer-Encoding: chunked, identity\r\n"),
         std::string("Content-Length: +5\r\n") }) {
    EntryTestFleet fleet;
    fleet.AwaitReady();
    TestCallPtr call =
      fleet.SendRaw(0,
                    "POST /order/x HTTP/1.1\r\nHost: host\r\n"
                    "Attempt-Id: good\r\nAuthorization: Bearer key-acme\r\n" +
                      fields + "\r\n" + "0\r\n\r\n" + hidden);
    EXPECT_TRUE(fleet.RunUntil([&] { return call->mStatus != 0; }, Seconds(1)));
    EXPECT_EQ(400, call->mStatus);
    fleet.RunFor(Millis(100));
    EXPECT_EQ(0, fleet.RunsOf("evil") + fleet.RunsOf("good"));
  }
}

TEST(Callers, ChunkedBodyReachesTheServerCompletely)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  TestCallPtr call = fleet.SendRaw(
    0,
    "POST /order/x HTTP/1.1\r\nHost: host\r\nAttempt-Id: r1\r\n"
    "Authorization: Bearer key-acme\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  EXPECT_TRUE(fleet.RunUntil([&] { return call->mComplete; }, Seconds(1)));
  EXPECT_EQ("answer to r1 of abcde", call->mBody);
}

// Guards against callers who set system fields: a server would obey them.
TEST(Callers, SystemFieldsOfACallerAreDropped)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  std::vector<HttpField> fields;
  for (const char* name : { wire::kHold,
                            wire::kPin,
                            wire::kBackup,
                            wire::kFrom,
                            wire::kExpectInstance }) {
    fields.push_back({ name, "evil" });
  }
  TestCallPtr call = fleet.Call(0, "/order/x", "r1", fields);
  // The stand-in refuses requests for another instance.
  EXPECT_EQ(200, call->mStatus);
  EXPECT_EQ(1, fleet.RunsOf("r1"));
}

// Guards against a server that works on after its caller's deadline: it gets
// the remaining time, not the original one.
TEST(Callers, ServerGetsTheRemainingDeadline)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.Call(0, "/order/x", "r1", { { wire::kDeadline, "1200" } });
  int64_t left = -1;
  for (auto& server : fleet.mPlain) {
    for (const ServerRun& run : server->mRuns) {
      left = run.mLeftMs;
    }
  }
  EXPECT_GT(left, 500);
  EXPECT_LE(left, 1200);
}

// The second request is sent before the first answer; both are answered, in
// order.
TEST(Callers, RequestsOnOneConnectionAreAnsweredInOrder)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  TestCallPtr call =
    fleet.SendRaw(0,
                  fleet.RequestText("/order/x", "r1", {}, "one") +
                    fleet.RequestText("/order/x", "r2", {}, "two"));
  EXPECT_TRUE(fleet.RunUntil(
    [&] {
      return call->mComplete &&
             call->mExcess.find("answer to r2 of two") != std::string::npos;
    },
    Seconds(2)));
  EXPECT_EQ("answer to r1 of one", call->mBody);
}

TEST(Callers, HeadAndBodyBeyondTheLimitsAreRefused)
{
  EntryTestFleet fleet;
  fleet.mConfig["limits"]["maxHeaderBytes"] = 1000;
  fleet.mConfig["limits"]["maxBodyBytes"] = 2000;
  fleet.mConfig["limits"]["headerTimeoutMs"] = 300;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.RunFor(Seconds(1));
  std::string big(1500, 'x');
  EXPECT_EQ(431, fleet.Call(0, "/order/x", "r1", { { "X", big } })->mStatus);
  EXPECT_EQ(413, fleet.Call(0, "/order/x", "r2", {}, big + big)->mStatus);
  TestCallPtr slow = fleet.SendRaw(0, "POST /order/x HTTP/1.1\r\nHo");
  EXPECT_TRUE(fleet.RunUntil([&] { return slow->mStatus != 0; }, Seconds(2)));
  EXPECT_EQ(408, slow->mStatus);
}

// Two hundred scrapers connect and send half a request or read nothing. Callers
// are served meanwhile, and a well-behaved scraper is served once the others
// have disconnected.
TEST(Callers, SlowMetricsScrapersDoNotDelayRequests)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  Poco::Net::SocketAddress metrics(
    fleet.mInstances[0]->State().mSettings.mMetrics);
  std::vector<Poco::Net::StreamSocket> slow;
  for (int i = 0; i < 200; ++i) {
    Poco::Net::StreamSocket socket;
    socket.connectNB(metrics);
    slow.push_back(socket);
    fleet.RunFor(Millis(2));
    try {
      socket.sendBytes("GET /metrics HTTP/1.1\r\nHost: x\r\n", 34);
    } catch (const Poco::Exception&) {
      // Rejected: too many connections.
    }
  }
  for (int i = 0; i < 5; ++i) {
    TestCallPtr call = fleet.Call(0, "/safe/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
    EXPECT_LT(call->mHeadAt - call->mSentAt, Millis(300));
  }
  slow.clear();
  fleet.RunFor(Millis(200));
  Poco::Net::StreamSocket scraper(metrics);
  std::string request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  scraper.sendBytes(request.data(), static_cast<int>(request.size()));
  scraper.setBlocking(false);
  std::string answer;
  fleet.RunUntil(
    [&] {
      char bytes[4096];
      try {
        int count = scraper.receiveBytes(bytes, sizeof bytes);
        answer.append(bytes, static_cast<size_t>(std::max(count, 0)));
      } catch (const Poco::Exception&) {
        // No data yet.
      }
      // The last metric of the answer.
      return answer.find("caraway_store_age_ms") != std::string::npos;
    },
    Seconds(3));
  EXPECT_NE(std::string::npos, answer.find("caraway_list_age_ms"));
  EXPECT_NE(std::string::npos, answer.find("caraway_store_call_seconds"));
}

} // namespace caraway
