// What callers send: keys, system fields, bad heads, slow and chunked bodies.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

#include <Poco/Net/StreamSocket.h>

namespace caraway {

TEST(Callers, ServerGetsTheTenantAndNeverTheKey)
{
  EntryTestFleet world;
  world.AwaitReady();
  TestCallPtr call = world.Call(0,
                                "/order/x",
                                "r1",
                                { { wire::kAuthorization, "Bearer key-globex" },
                                  { wire::kTenant, "acme" } });
  EXPECT_EQ(200, call->mStatus);
  for (auto& server : world.mPlain) {
    for (const ServerRun& run : server->mRuns) {
      EXPECT_EQ("globex", run.mTenant);
      EXPECT_EQ("", run.mKey);
    }
  }
}

TEST(Callers, UnknownKeyAndUnknownRoute)
{
  EntryTestFleet world;
  world.AwaitReady();
  EXPECT_EQ(
    401,
    world.Call(0, "/order/x", "r1", { { wire::kAuthorization, "Bearer no" } })
      ->mStatus);
  EXPECT_EQ(404, world.Call(0, "/nowhere/x", "r2")->mStatus);
  EXPECT_EQ(0, world.RunsOf("r1") + world.RunsOf("r2"));
}

// A second request hidden in the first by two lengths, a length beside
// chunks, a blank before a colon or a bare line feed: refused, nothing runs.
TEST(Callers, NoRequestIsHiddenInAnother)
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
    EntryTestFleet world;
    world.AwaitReady();
    TestCallPtr call =
      world.SendRaw(0,
                    "POST /order/x HTTP/1.1\r\nHost: host\r\n"
                    "Attempt-Id: good\r\nAuthorization: Bearer key-acme\r\n" +
                      fields + "\r\n" + "0\r\n\r\n" + hidden);
    EXPECT_TRUE(world.Until([&] { return call->mStatus != 0; }, Seconds(1)));
    EXPECT_EQ(400, call->mStatus);
    world.For(Millis(100));
    EXPECT_EQ(0, world.RunsOf("evil") + world.RunsOf("good"));
  }
}

TEST(Callers, ChunkedBodyReachesTheServerWhole)
{
  EntryTestFleet world;
  world.AwaitReady();
  TestCallPtr call = world.SendRaw(
    0,
    "POST /order/x HTTP/1.1\r\nHost: host\r\nAttempt-Id: r1\r\n"
    "Authorization: Bearer key-acme\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  EXPECT_TRUE(world.Until([&] { return call->mWhole; }, Seconds(1)));
  EXPECT_EQ("answer to r1 of abcde", call->mBody);
}

// Fields that only the system sets: what a caller sends under these names
// goes nowhere.
TEST(Callers, SystemFieldsOfACallerAreDropped)
{
  EntryTestFleet world;
  world.AwaitReady();
  std::vector<HttpField> fields;
  for (const char* name : { wire::kHold,
                            wire::kPin,
                            wire::kBackup,
                            wire::kFrom,
                            wire::kExpectInstance }) {
    fields.push_back({ name, "evil" });
  }
  TestCallPtr call = world.Call(0, "/order/x", "r1", fields);
  EXPECT_EQ(200, call->mStatus); // the stand-in refuses a foreign instance
  EXPECT_EQ(1, world.RunsOf("r1"));
}

// A request waits no longer than the caller will: the server is handed what
// is left, not more.
TEST(Callers, ServerGetsWhatIsLeftOfTheDeadline)
{
  EntryTestFleet world;
  world.AwaitReady();
  world.Call(0, "/order/x", "r1", { { wire::kDeadline, "1200" } });
  int64_t left = -1;
  for (auto& server : world.mPlain) {
    for (const ServerRun& run : server->mRuns) {
      left = run.mLeftMs;
    }
  }
  EXPECT_GT(left, 500);
  EXPECT_LE(left, 1200);
}

// Two requests on one connection, the second sent before the first answer:
// both are answered, in order.
TEST(Callers, RequestsOnOneConnectionAreAnsweredInOrder)
{
  EntryTestFleet world;
  world.AwaitReady();
  TestCallPtr call =
    world.SendRaw(0,
                  world.RequestText("/order/x", "r1", {}, "one") +
                    world.RequestText("/order/x", "r2", {}, "two"));
  EXPECT_TRUE(world.Until(
    [&] {
      return call->mWhole &&
             call->mOver.find("answer to r2 of two") != std::string::npos;
    },
    Seconds(2)));
  EXPECT_EQ("answer to r1 of one", call->mBody);
}

TEST(Callers, HeadAndBodyBeyondTheLimitsAreRefused)
{
  EntryTestFleet world;
  world.mConfig["limits"]["maxHeaderBytes"] = 1000;
  world.mConfig["limits"]["maxBodyBytes"] = 2000;
  world.mConfig["limits"]["headerTimeoutMs"] = 300;
  world.Configure();
  world.AwaitReady();
  world.For(Seconds(1));
  std::string big(1500, 'x');
  EXPECT_EQ(431, world.Call(0, "/order/x", "r1", { { "X", big } })->mStatus);
  EXPECT_EQ(413, world.Call(0, "/order/x", "r2", {}, big + big)->mStatus);
  TestCallPtr slow = world.SendRaw(0, "POST /order/x HTTP/1.1\r\nHo");
  EXPECT_TRUE(world.Until([&] { return slow->mStatus != 0; }, Seconds(2)));
  EXPECT_EQ(408, slow->mStatus);
}

// Two hundred scrapers connect, ask half a question or read nothing. Callers
// are served meanwhile, and a proper scraper is once the others have gone.
TEST(Callers, ManySlowScrapersDisturbNothing)
{
  EntryTestFleet world;
  world.AwaitReady();
  Poco::Net::SocketAddress metrics(
    world.mInstances[0]->State().mSettings.mMetrics);
  std::vector<Poco::Net::StreamSocket> slow;
  for (int i = 0; i < 200; ++i) {
    Poco::Net::StreamSocket socket;
    socket.connectNB(metrics);
    slow.push_back(socket);
    world.For(Millis(2));
    try {
      socket.sendBytes("GET /metrics HTTP/1.1\r\nHost: x\r\n", 34);
    } catch (const Poco::Exception&) {
      // Turned away: too many at once.
    }
  }
  for (int i = 0; i < 5; ++i) {
    TestCallPtr call = world.Call(0, "/safe/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
    EXPECT_LT(call->mHeadAt - call->mAsked, Millis(300));
  }
  slow.clear();
  world.For(Millis(200));
  Poco::Net::StreamSocket proper(metrics);
  std::string ask = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  proper.sendBytes(ask.data(), static_cast<int>(ask.size()));
  proper.setBlocking(false);
  std::string answer;
  world.Until(
    [&] {
      char bytes[4096];
      try {
        int count = proper.receiveBytes(bytes, sizeof bytes);
        answer.append(bytes, static_cast<size_t>(std::max(count, 0)));
      } catch (const Poco::Exception&) {
        // Nothing there yet.
      }
      return answer.find("caraway_store_age_ms") != std::string::npos; // last
    },
    Seconds(3));
  EXPECT_NE(std::string::npos, answer.find("caraway_list_age_ms"));
  EXPECT_NE(std::string::npos, answer.find("caraway_store_call_seconds"));
}

} // namespace caraway
