#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

// Callers behind a balancer: they use instances that are ready and try another
// one if a connection is refused. Each request that was sent must get a
// complete answer; mCut counts those that don't.
class BalancedCallers
{
public:
  BalancedCallers(Fleet& aFleet, int aCount)
    : mFleet(aFleet)
  {
    for (int i = 0; i < aCount; ++i) {
      mThreads.emplace_back([this, i] { Run(i); });
    }
  }
  ~BalancedCallers() { Stop(); }
  void Stop()
  {
    mEnding = true;
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
  }
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mCut{ 0 };

private:
  bool IsReady(size_t aInstance)
  {
    return mFleet
      .Call(mFleet.mInstances[aInstance]->Address("admin"), "GET", "/readyz")
      .Ok();
  }
  void Run(int aSelf)
  {
    for (int i = 0; !mEnding; ++i) {
      size_t at = static_cast<size_t>(aSelf + i) % mFleet.mInstances.size();
      if (!IsReady(at)) {
        continue;
      }
      std::string key = mFleet.mKeys["acme"];
      std::string body = std::to_string(aSelf) + "/" + std::to_string(i);
      HttpReply reply = aSelf % 2 == 0 ? mFleet.Chat(at, key, "chat-m0", 30)
                                       : mFleet.OrderCall(at, key, body, body);
      mAnswered += reply.Ok() ? 1 : 0;
      mCut += !reply.Ok() && reply.mStage != HttpStage::NotSent ? 1 : 0;
      // Stays within an instance's budget of platform calls.
      std::this_thread::sleep_for(Millis(20));
    }
  }

  Fleet& mFleet;
  std::atomic<bool> mEnding{ false };
  std::vector<std::thread> mThreads;
};

// Two instances and slow engines; the second instance is shut down.
FleetPlan
SlowPlan(std::vector<std::string> aSettings)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mServices = 2;
  plan.mEngineFlags = { "--token_ms=40" };
  plan.mSettings = std::move(aSettings);
  return plan;
}

void
ServiceFaults(Fleet& aFleet, int aDelayMs, int aLost)
{
  Json::Value fault;
  fault["delay_ms"] = aDelayMs;
  fault["lose_answers"] = aLost;
  for (auto& service : aFleet.mServices) {
    aFleet.Call(service->Address(), "POST", "/control", fault);
  }
}

// True if the answer to a keep-alive request leaves its connection open.
bool
KeepsConnection(Fleet& aFleet, const std::string& aKey)
{
  Poco::Net::HTTPClientSession session(
    Poco::Net::SocketAddress(aFleet.mInstances[1]->Address("caller")));
  session.setKeepAlive(true);
  Poco::Net::HTTPRequest request(
    "GET", "/v1/models", Poco::Net::HTTPMessage::HTTP_1_1);
  request.setKeepAlive(true);
  request.set("Authorization", "Bearer " + aKey);
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  session.receiveResponse(response).ignore(1 << 20);
  EXPECT_EQ(response.getStatus(), Poco::Net::HTTPResponse::HTTP_OK);
  return response.getKeepAlive();
}

// A request that is sent in two parts.
class SlowRequest
{
public:
  SlowRequest(const std::string& aAddress,
              const std::string& aPath,
              const std::string& aKey,
              const std::string& aBody)
    : mSocket(Poco::Net::SocketAddress(aAddress))
    , mRest(aBody.substr(1))
  {
    mSocket.setReceiveTimeout(Poco::Timespan(10, 0));
    std::ostringstream head;
    head << "POST " << aPath << " HTTP/1.1\r\nHost: x\r\n"
         << "Authorization: Bearer " << aKey << "\r\n"
         << "Content-Length: " << aBody.size() << "\r\n\r\n"
         << aBody[0];
    Send(head.str());
  }
  // Sends the rest; returns everything received until the connection closes.
  std::string Finish()
  {
    std::string answer;
    char buffer[4096];
    try {
      Send(mRest);
      int got = 0;
      do {
        got = mSocket.receiveBytes(buffer, sizeof buffer);
        answer.append(buffer, static_cast<size_t>(std::max(got, 0)));
      } while (got > 0);
    } catch (const Poco::Exception& error) {
      answer += error.displayText();
    }
    return answer;
  }

private:
  void Send(const std::string& aText)
  {
    mSocket.sendBytes(aText.data(), static_cast<int>(aText.size()));
  }

  Poco::Net::StreamSocket mSocket;
  std::string mRest;
};

std::string
RunOf(const HttpReply& aReply)
{
  return JsonParseOrEmpty(aReply.mBody)["run"].asString();
}

} // namespace

// An instance is shut down while it streams, has requests waiting and runs
// orders. It must report not ready, finish all of it, hand over its share slots
// and exit with code 0. No caller may lose a request.
TEST(Leaving, ShutdownUnderLoadCutsNothing)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 3 };
  plan.mSettings = { "[shutdown]", "lag_ms = 600" };
  Fleet fleet(plan);
  fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 1);
  BalancedCallers callers(fleet, 8);
  std::this_thread::sleep_for(Millis(600));
  fleet.mInstances[1]->Terminate();
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
  int before = callers.mAnswered;
  std::this_thread::sleep_for(Millis(600));
  callers.Stop();
  EXPECT_GT(callers.mAnswered, before);
  EXPECT_EQ(callers.mCut, 0);
  int slots = 0;
  for (size_t i : { 0u, 2u }) {
    slots += fleet.Status(i)["share_slots"].asInt();
  }
  EXPECT_EQ(slots, 16);
}

// An instance is shut down during a stream. The stream must complete although
// new requests are refused.
TEST(Leaving, InFlightStreamCompletes)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mEngineFlags = { "--token_ms=20" };
  plan.mSettings = { "[shutdown]", "lag_ms = 200" };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  fleet.Chat(1, key, "chat-m0", 1);
  HttpReply reply;
  std::thread caller([&] { reply = fleet.Chat(1, key, "chat-m0", 150, true); });
  EXPECT_TRUE(Eventually(
    Seconds(5), [&] { return fleet.EngineState(0)["active"].asInt() == 1; }));
  fleet.mInstances[1]->Terminate();
  caller.join();
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
  EXPECT_EQ(reply.mStatus, 200) << reply.mError;
  EXPECT_NE(reply.mBody.find("[DONE]"), std::string::npos) << reply.mBody;
}

// The balancer keeps sending until it has seen that an instance isn't ready.
// Requests that arrive in this time must be served.
TEST(Leaving, ServesDuringTheBalancerLag)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mSettings = { "[shutdown]", "lag_ms = 3000" };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok());
  std::string admin = fleet.mInstances[1]->Address("admin");
  fleet.mInstances[1]->Terminate();
  EXPECT_TRUE(Eventually(
    Seconds(2), [&] { return !fleet.Call(admin, "GET", "/readyz").Ok(); }));
  HttpReply reply = fleet.Chat(1, key, "chat-m0", 1);
  EXPECT_TRUE(reply.Ok()) << reply.mStatus << reply.mError;
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
}

// A long answer keeps a leaving instance running for seconds after the
// balancer's lag. A caller that still connects must be refused at once, so that
// it uses another instance. Left in the listen backlog, its connection would
// wait for the exit and then be reset with the request already sent. The
// refusal of an order that may have been sent before must not say "not run".
TEST(Leaving, NewRequestsAreRefusedWhileDraining)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mEngineFlags = { "--token_ms=40" };
  plan.mSettings = { "[shutdown]", "lag_ms = 200" };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok());
  HttpReply slow;
  std::thread caller([&] { slow = fleet.Chat(1, key, "chat-m0", 100); });
  EXPECT_TRUE(Eventually(
    Seconds(5), [&] { return fleet.EngineState(0)["active"].asInt() == 1; }));
  fleet.mInstances[1]->Terminate();
  HttpReply reply;
  do {
    reply = fleet.Chat(1, key, "chat-m0", 1);
  } while (reply.Ok());
  EXPECT_EQ(reply.mStatus, 503) << reply.mError;
  EXPECT_EQ(JsonParseOrEmpty(reply.mBody)["run"].asString(), "not_run");
  EXPECT_FALSE(reply.Header("retry-after").empty());
  reply = fleet.OrderCall(1, key, "k1", "sent before, elsewhere");
  EXPECT_EQ(JsonParseOrEmpty(reply.mBody)["run"].asString(), "may_have_run");
  EXPECT_TRUE(fleet.mInstances[1]->Running()); // serving the slow request
  caller.join();
  EXPECT_TRUE(slow.Ok()) << slow.mError;
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
}

// An engine is removed from the configuration while it serves. Its current
// request must complete, and one second later it must get no new ones.
TEST(Leaving, RemovedEndpointGetsNoNewWork)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mEngines = 2;
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(0, key, "chat-m0", 1).Ok());
  size_t leaving = fleet.EngineState(0)["audit"]["loads"].asInt() == 1 ? 0 : 1;
  HttpReply during;
  std::thread caller([&] { during = fleet.Chat(0, key, "chat-m0", 200); });
  EXPECT_TRUE(Eventually(Seconds(5), [&] {
    return fleet.EngineState(leaving)["active"].asInt() == 1;
  }));
  int64_t revision = fleet.Configure([&](Json::Value& aConfig) {
    Json::Value kept(Json::arrayValue);
    for (const Json::Value& endpoint : aConfig["endpoints"]) {
      if (endpoint["name"] != "llm-mendoza-a" + std::to_string(leaving)) {
        kept.append(endpoint);
      }
    }
    aConfig["endpoints"] = kept;
  });
  ASSERT_TRUE(fleet.AwaitRevision(revision, Seconds(9)));
  std::this_thread::sleep_for(Seconds(1));
  caller.join();
  EXPECT_TRUE(during.Ok());
  int before = fleet.EngineState(leaving)["audit"]["generated"].asInt();
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(fleet.Chat(static_cast<size_t>(i % 2), key, "chat-m0", 2).Ok());
  }
  EXPECT_EQ(fleet.EngineState(leaving)["audit"]["generated"].asInt(), before);
}

// Guards against requests that are cut off by the shutdown's time limit and get
// no final answer, or a late one.
TEST(Leaving, RequestsCutByTheLimitAreAnswered)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 200", "limit_s = 2" }));
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok());
  ServiceFaults(fleet, 5000, 0);
  HttpReply plain;
  HttpReply stream;
  HttpReply order;
  std::vector<std::thread> callers;
  callers.emplace_back([&] { plain = fleet.Chat(1, key, "chat-m0", 150); });
  callers.emplace_back(
    [&] { stream = fleet.Chat(1, key, "chat-m0", 150, true); });
  callers.emplace_back([&] { order = fleet.OrderCall(1, key, "k1", "b1"); });
  EXPECT_TRUE(Eventually(Seconds(5), [&] {
    return fleet.EngineState(0)["active"].asInt() == 2 && fleet.Runs("b1") == 1;
  }));
  auto begun = std::chrono::steady_clock::now();
  fleet.mInstances[1]->Terminate();
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Millis(2200));
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 1);
  // Plus the platform's timeout, since handing over the shares takes a call.
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Millis(3200));
  EXPECT_EQ(plain.mStatus, 502) << plain.mError;
  EXPECT_EQ(RunOf(plain), "may_have_run");
  EXPECT_EQ(order.mStatus, 502) << order.mError;
  EXPECT_EQ(RunOf(order), "may_have_run");
  EXPECT_EQ(stream.mStatus, 200) << stream.mError;
  EXPECT_NE(stream.mBody.find("event: error"), std::string::npos);
}

// Guards against closing a keep-alive connection while its caller sends the
// next request: answers during shutdown must announce the close.
TEST(Leaving, AnswersCloseTheirConnections)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 3000" }));
  std::string key = fleet.mKeys["acme"];
  EXPECT_TRUE(KeepsConnection(fleet, key));
  std::string admin = fleet.mInstances[1]->Address("admin");
  fleet.mInstances[1]->Terminate();
  EXPECT_TRUE(Eventually(
    Seconds(2), [&] { return !fleet.Call(admin, "GET", "/readyz").Ok(); }));
  EXPECT_FALSE(KeepsConnection(fleet, key));
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
}

// Guards against an immediate exit on SIGHUP, SIGINT or a second SIGTERM.
TEST(Leaving, OtherSignalsCutNothing)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 200" }));
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok());
  HttpReply reply;
  std::thread caller([&] { reply = fleet.Chat(1, key, "chat-m0", 50, true); });
  EXPECT_TRUE(Eventually(
    Seconds(5), [&] { return fleet.EngineState(0)["active"].asInt() == 1; }));
  kill(fleet.mInstances[1]->Pid(), SIGHUP);
  fleet.mInstances[1]->Terminate();
  std::this_thread::sleep_for(Millis(300));
  kill(fleet.mInstances[1]->Pid(), SIGHUP);
  kill(fleet.mInstances[1]->Pid(), SIGINT);
  fleet.mInstances[1]->Terminate();
  caller.join();
  EXPECT_NE(reply.mBody.find("[DONE]"), std::string::npos) << reply.mError;
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
}

// Guards against starting a request whose last byte arrives so late that the
// shutdown's time limit would cut it off.
TEST(Leaving, LateCompletedRequestIsNotStarted)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 500", "limit_s = 2" }));
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok());
  int before = fleet.EngineState(0)["audit"]["generated"].asInt();
  std::string body = R"({"model":"chat-m0","max_tokens":100,"messages":)"
                     R"([{"role":"user","content":"open?"}]})";
  SlowRequest request(
    fleet.mInstances[1]->Address("caller"), "/v1/chat/completions", key, body);
  std::this_thread::sleep_for(Millis(100));
  fleet.mInstances[1]->Terminate();
  std::this_thread::sleep_for(Millis(1000));
  std::string answer = request.Finish();
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("not_run"), std::string::npos) << answer;
  EXPECT_EQ(fleet.EngineState(0)["audit"]["generated"].asInt(), before);
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
}

// Guards against a long generation that is started while callers are still
// expected and cut off by the time limit, instead of being refused at once.
TEST(Leaving, GenerationThatUsuallyTakesTooLongIsNotStarted)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 2000", "limit_s = 2" }));
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok()); // loads the model
  for (int tokens : { 110, 5, 110, 5, 5 }) {
    ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", tokens).Ok());
  }
  auto generated = [&fleet] {
    return fleet.EngineState(0)["audit"]["generated"].asInt();
  };
  // The engine counts a generation after its last byte.
  constexpr int kBefore = 6;
  ASSERT_TRUE(Eventually(Seconds(2), [&] { return generated() == kBefore; }));
  fleet.mInstances[1]->Terminate();
  std::this_thread::sleep_for(Millis(500));
  HttpReply quick = fleet.Chat(1, key, "chat-m0", 5);
  EXPECT_TRUE(quick.Ok()) << quick.mStatus << quick.mError;
  HttpReply slow = fleet.Chat(1, key, "chat-m0", 110);
  EXPECT_EQ(slow.mStatus, 503) << slow.mError;
  EXPECT_EQ(RunOf(slow), "not_run");
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
  EXPECT_EQ(generated(), kBefore + 1);
}

// Guards against unresponsive peers that delay the final answers of a shutdown.
TEST(Leaving, FrozenPeersDontDelayShutdown)
{
  FleetPlan plan = SlowPlan({ "[shutdown]", "lag_ms = 200", "limit_s = 2" });
  plan.mInstances = { 6 };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok());
  HttpReply reply;
  std::thread caller([&] { reply = fleet.Chat(1, key, "chat-m0", 150); });
  EXPECT_TRUE(Eventually(
    Seconds(5), [&] { return fleet.EngineState(0)["active"].asInt() == 1; }));
  for (size_t i : { 0u, 2u, 3u, 4u, 5u }) {
    fleet.mInstances[i]->Stop();
  }
  auto begun = std::chrono::steady_clock::now();
  fleet.mInstances[1]->Terminate();
  caller.join();
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Millis(2200));
  EXPECT_EQ(reply.mStatus, 502) << reply.mError;
  EXPECT_EQ(RunOf(reply), "may_have_run");
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 1);
}

// Guards against a time limit that is counted from when a stopped process
// continues: its supervisor counts from SIGTERM, and its kill would cut off the
// last answers.
TEST(Leaving, SigtermWhileStoppedLeavesWithinTheLimit)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 200", "limit_s = 2" }));
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(1, key, "chat-m0", 1).Ok());
  HttpReply reply;
  std::thread caller([&] { reply = fleet.Chat(1, key, "chat-m0", 150); });
  EXPECT_TRUE(Eventually(
    Seconds(5), [&] { return fleet.EngineState(0)["active"].asInt() == 1; }));
  fleet.mInstances[1]->Stop();
  auto begun = std::chrono::steady_clock::now();
  fleet.mInstances[1]->Terminate();
  std::this_thread::sleep_for(Millis(1200));
  fleet.mInstances[1]->Continue();
  caller.join();
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Millis(2200));
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 1);
  EXPECT_EQ(reply.mStatus, 502) << reply.mError;
  EXPECT_EQ(RunOf(reply), "may_have_run");
}

// Guards against dropping an operator's request in flight at shutdown.
TEST(Leaving, InFlightAdminRequestIsAnswered)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 200" }));
  SlowRequest request(fleet.mInstances[1]->Address("admin"),
                      "/admin/v1/check",
                      fleet.mAdminKey,
                      R"({"config":{}})");
  std::this_thread::sleep_for(Millis(100));
  fleet.mInstances[1]->Terminate();
  std::this_thread::sleep_for(Millis(1000));
  std::string answer = request.Finish();
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
}

// Guards against a retry so late that the shutdown would cut it off.
TEST(Leaving, RetryPastTheLimitIsNotSent)
{
  Fleet fleet(SlowPlan({ "[shutdown]", "lag_ms = 200", "limit_s = 3" }));
  ServiceFaults(fleet, 1000, 1);
  HttpCall call;
  call.mAddress = fleet.mInstances[1]->Address("caller");
  call.mMethod = "POST";
  call.mPath = "/v1/services/status/closures";
  call.mBody = "b1";
  call.mTimeout = Seconds(20);
  call.mHeaders = { { "Authorization", "Bearer " + fleet.mKeys["acme"] } };
  HttpReply reply;
  std::thread caller([&] { reply = HttpCallOnce(call); });
  EXPECT_TRUE(Eventually(Seconds(5), [&] { return fleet.Runs("b1") == 1; }));
  fleet.mInstances[1]->Terminate();
  caller.join();
  EXPECT_EQ(reply.mStatus, 502) << reply.mError;
  EXPECT_EQ(RunOf(reply), "may_have_run");
  EXPECT_EQ(fleet.mInstances[1]->Wait(), 0);
  EXPECT_EQ(fleet.Runs("b1"), 1);
}

} // namespace caraway
