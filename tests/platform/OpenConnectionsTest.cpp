// Changes of the configuration while connections are open: limits that fall and
// routes, keys or tenants that are removed.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

const std::vector<HttpField> kLong = { { wire::kModel, "m0" },
                                       { wire::kTokens, "1,1" },
                                       { wire::kDeadline, "25000" } };

// Starts a stream of two and a half seconds.
TestCallPtr
BeginStream(EntryTestFleet& aFleet)
{
  for (Json::Value& route : aFleet.mConfig["routes"]) {
    route["timeoutMs"] = 25000;
  }
  aFleet.Configure();
  aFleet.mEngines[0]->mEventGap = Millis(500);
  aFleet.AwaitReady();
  TestCallPtr call = aFleet.Send(0, "/stream/stream", "r1", kLong);
  EXPECT_TRUE(
    aFleet.RunUntil([&] { return call->mStatus == 200; }, Seconds(2)));
  return call;
}

} // namespace

// Guards against closing a connection that its caller reuses within the idle
// limit in force when it became idle.
TEST(OpenConnections, LowerIdleLimitSparesAnIdleConnection)
{
  EntryTestFleet fleet;
  fleet.mConfig["limits"]["idleTimeoutMs"] = 10000;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.RunFor(Seconds(1));
  TestCallPtr call = fleet.Send(0, "/order/x", "r1");
  ASSERT_TRUE(fleet.RunUntil([&] { return call->mComplete; }, Seconds(2)));
  fleet.RunFor(Seconds(2));
  fleet.mConfig["limits"]["idleTimeoutMs"] = 1000;
  fleet.Configure();
  fleet.RunFor(Seconds(2));
  ASSERT_FALSE(call->mClosed);
  call->mChannel->Write(fleet.RequestText("/order/x", "r2"));
  fleet.RunUntil(
    [&] { return fleet.RunsOf("r2") > 0 && !call->mExcess.empty(); },
    Seconds(2));
  EXPECT_EQ(0u, call->mExcess.find("HTTP/1.1 200"));
  // The idle period that begins now is subject to the new limit.
  EXPECT_TRUE(fleet.RunUntil([&] { return call->mClosed; }, Seconds(3)));
}

// Guards against a broken stream, and a pipelined request without an answer,
// when a size limit falls below the pipelined input.
TEST(OpenConnections, LowerSizeLimitSparesPipelinedRequests)
{
  EntryTestFleet fleet;
  TestCallPtr call = BeginStream(fleet);
  fleet.mConfig["limits"]["maxHeaderBytes"] = 1000;
  fleet.mConfig["limits"]["maxBodyBytes"] = 2000;
  fleet.Configure();
  fleet.RunFor(Seconds(1));
  std::string big(60000, 'x');
  call->mChannel->Write(fleet.RequestText("/order/x", "r2", {}, big));
  ASSERT_TRUE(fleet.RunUntil([&] { return call->mComplete || call->mClosed; },
                             Seconds(5)));
  EXPECT_TRUE(call->mComplete);
  fleet.RunUntil([&] { return !call->mExcess.empty(); }, Seconds(2));
  EXPECT_EQ(0u, call->mExcess.find("HTTP/1.1 200"));
}

// Guards against refusing a body as too slow by a limit that fell while it was
// received.
TEST(OpenConnections, LowerTimeLimitSparesABodyInTransit)
{
  EntryTestFleet fleet;
  fleet.mConfig["limits"]["idleTimeoutMs"] = 10000;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.RunFor(Seconds(1));
  std::string text = fleet.RequestText("/order/x", "r1");
  TestCallPtr call = fleet.SendRaw(0, text.substr(0, text.size() - 1));
  fleet.RunFor(Millis(500));
  fleet.mConfig["limits"]["idleTimeoutMs"] = 1000;
  fleet.Configure();
  fleet.RunFor(Millis(2500));
  call->mChannel->Write(text.substr(text.size() - 1));
  ASSERT_TRUE(fleet.RunUntil([&] { return call->mComplete || call->mClosed; },
                             Seconds(3)));
  EXPECT_EQ(200, call->mStatus);
}

// Guards against breaking the stream of a caller that pipelines more than the
// input limit.
TEST(OpenConnections, PipeliningCallerKeepsItsStream)
{
  EntryTestFleet fleet;
  fleet.mConfig["limits"]["maxHeaderBytes"] = 2000;
  fleet.mConfig["limits"]["maxBodyBytes"] = 2000;
  TestCallPtr call = BeginStream(fleet);
  std::string body(1500, 'x');
  std::string pipelined;
  for (int i = 0; i < 6; ++i) {
    pipelined +=
      fleet.RequestText("/order/x", "a" + std::to_string(i), {}, body);
  }
  call->mChannel->Write(pipelined);
  ASSERT_TRUE(fleet.RunUntil([&] { return call->mComplete || call->mClosed; },
                             Seconds(5)));
  EXPECT_TRUE(call->mComplete);
  fleet.RunUntil([&] { return fleet.RunsOf("a5") > 0; }, Seconds(3));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(1, fleet.RunsOf("a" + std::to_string(i))) << i;
  }
}

// Guards against missing the disconnect of a caller with unread input: its
// server would go on working in vain.
TEST(OpenConnections, DisconnectWithUnreadInputIsNoticed)
{
  EntryTestFleet fleet;
  fleet.mConfig["limits"]["maxHeaderBytes"] = 2000;
  fleet.mConfig["limits"]["maxBodyBytes"] = 2000;
  TestCallPtr call = BeginStream(fleet);
  call->mChannel->Write(std::string(100000, 'x'));
  fleet.RunFor(Millis(300));
  call->mChannel->Close();
  EXPECT_TRUE(
    fleet.RunUntil([&] { return fleet.mEngines[0]->mLeft == 1; }, Seconds(1)));
}

// As above, while the server has not answered, so that no failing write shows
// the disconnect.
TEST(OpenConnections, DisconnectWithUnreadInputIsNoticedBeforeAnAnswer)
{
  EntryTestFleet fleet;
  fleet.mConfig["limits"]["maxHeaderBytes"] = 2000;
  fleet.mConfig["limits"]["maxBodyBytes"] = 2000;
  for (Json::Value& route : fleet.mConfig["routes"]) {
    route["timeoutMs"] = 25000;
  }
  fleet.Configure();
  for (auto& server : fleet.mPlain) {
    server->mWork = Seconds(5);
  }
  fleet.AwaitReady();
  TestCallPtr call =
    fleet.Send(0, "/order/x", "r1", { { wire::kDeadline, "25000" } });
  ASSERT_TRUE(fleet.RunUntil(
    [&] {
      return fleet.mPlain[0]->mArrivals + fleet.mPlain[1]->mArrivals == 1;
    },
    Seconds(2)));
  call->mChannel->Write(std::string(100000, 'x'));
  fleet.RunFor(Millis(300));
  call->mChannel->Close();
  EXPECT_TRUE(fleet.RunUntil(
    [&] { return fleet.mPlain[0]->mLeft + fleet.mPlain[1]->mLeft == 1; },
    Millis(1500)));
}

// Guards against lost or reordered answers when a caller sends many requests at
// once on one connection.
TEST(OpenConnections, PipelinedRequestsAreAnsweredInOrder)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  std::string text;
  for (int i = 0; i < 50; ++i) {
    text += fleet.RequestText("/order/x", "r" + std::to_string(i));
  }
  TestCallPtr call = fleet.SendRaw(0, text);
  fleet.RunUntil([&] { return fleet.RunsOf("r49") > 0; }, Seconds(5));
  fleet.RunFor(Millis(200));
  size_t at = 0;
  for (int i = 0; i < 50; ++i) {
    std::string field =
      std::string(wire::kRequestId) + ": r" + std::to_string(i) + "\r\n";
    at = call->mBytes.find(field, at);
    ASSERT_NE(std::string::npos, at) << i;
  }
}

namespace {

// A change of the configuration that removes what requests in flight were
// admitted by.
struct ConfigRemoval
{
  const char* mName;
  void (*mChange)(Json::Value& aConfig);
};

void
RenameService(Json::Value& aConfig)
{
  aConfig["services"][1]["name"] = "renamed";
  for (Json::Value& route : aConfig["routes"]) {
    if (route["service"] == "engine") {
      route["service"] = "renamed";
    }
  }
}

const ConfigRemoval kConfigRemovals[] = {
  { "Routes", [](Json::Value& aConfig) { aConfig["routes"].resize(1); } },
  { "Key",
    [](Json::Value& aConfig) {
      aConfig["tenants"][0]["apiKeys"] = Json::Value(Json::arrayValue);
    } },
  { "Tenant",
    [](Json::Value& aConfig) { aConfig["tenants"].removeIndex(0, nullptr); } },
  { "Service", RenameService },
  { "Rate",
    [](Json::Value& aConfig) {
      aConfig["tenants"][0]["ratePerS"] = 1;
      aConfig["tenants"][0]["burst"] = 1;
    } },
  { "Time",
    [](Json::Value& aConfig) {
      for (Json::Value& route : aConfig["routes"]) {
        route["timeoutMs"] = 200;
      }
    } },
};

class ConfigRemovalInFlight : public testing::TestWithParam<ConfigRemoval>
{};

} // namespace

// Guards against requests in flight, waiting or pipelined that end without an
// answer when a configuration removes what admitted them.
TEST_P(ConfigRemovalInFlight, AllRequestsAreAnswered)
{
  EntryTestFleet fleet;
  fleet.mEngines[0]->mLoadTime = Seconds(1);
  TestCallPtr stream = BeginStream(fleet);
  std::vector<HttpField> cold = kLong;
  cold[0].mValue = "m5";
  TestCallPtr waiting = fleet.Send(0, "/resume/stream", "r2", cold);
  stream->mChannel->Write(fleet.RequestText("/order/x", "r3"));
  fleet.RunFor(Millis(200));
  GetParam().mChange(fleet.mConfig);
  fleet.Configure();
  fleet.RunFor(Millis(100));
  fleet.Configure();
  fleet.RunUntil(
    [&] {
      bool nextAnswered = stream->mExcess.find("HTTP/1.1 ") == 0;
      return (stream->mComplete && nextAnswered && waiting->mComplete) ||
             stream->mClosed;
    },
    Seconds(8));
  EXPECT_TRUE(stream->mComplete);
  EXPECT_EQ(0u, stream->mExcess.find("HTTP/1.1 "));
  EXPECT_TRUE(waiting->mComplete);
}

INSTANTIATE_TEST_SUITE_P(OpenConnections,
                         ConfigRemovalInFlight,
                         testing::ValuesIn(kConfigRemovals),
                         [](const auto& aInfo) { return aInfo.param.mName; });

} // namespace caraway
