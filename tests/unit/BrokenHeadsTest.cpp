// Servers in trouble send heads that aren't those of an answer. No reader may
// take the body behind one for an answer.

#include <gtest/gtest.h>

#include "caraway/BootClock.h"
#include "ctl/AdminClient.h"
#include "ctl/InstanceCall.h"
#include "net/HttpCall.h"
#include "net/HttpPool.h"
#include "net/OutboundCall.h"
#include "platform/PlatformClient.h"
#include "serve/EngineStream.h"
#include "support/BrokenHeads.h"
#include "support/RawAnswerServer.h"

namespace caraway {

namespace {

// A request with an empty body gets a sound answer.
constexpr size_t kSoundBelow = 1;

class BrokenHeadsTest : public testing::Test
{
protected:
  BrokenHeadsTest()
    : mServer(RawAnswer(), kSoundBelow)
  {
  }
  // Calls aTaken with each answer in place and lists what it returned true for.
  void ExpectNone(const std::string& aBody, const std::function<bool()>& aTaken)
  {
    std::string taken;
    for (const BrokenHead& head : BrokenHeads()) {
      RawAnswer answer;
      answer.mBytes = BrokenAnswer(head, "X-Request-Id: {id}\r\n", aBody);
      answer.mReadFirst = SIZE_MAX;
      answer.mEnd = RawEnd::ReadThenClose;
      mServer.SetAnswer(answer);
      taken += aTaken() ? "\n" + head.mWhat : "";
    }
    EXPECT_EQ("", taken);
  }
  HttpCall Call(const std::string& aBody) const
  {
    HttpCall call;
    call.mAddress = mServer.Address();
    call.mMethod = "POST";
    call.mBody = aBody;
    return call;
  }

  RawAnswerServer mServer;
};

} // namespace

// Guards carawayd-entry's calls of all kinds.
TEST_F(BrokenHeadsTest, BufferedCallIsMalformed)
{
  BootClock clock;
  Reactor reactor(clock);
  ChannelPool pool(reactor);
  ExpectNone("body", [&] {
    OutboundRequest request;
    request.mAddress = mServer.Address();
    request.mHead = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
    bool done = false;
    CallOutcome outcome = CallOutcome::Complete;
    auto call = StartBufferedCall(reactor,
                                  pool,
                                  std::move(request),
                                  Seconds(2),
                                  [&](BufferedAnswer& aAnswer) {
                                    outcome = aAnswer.mOutcome;
                                    done = true;
                                  });
    while (!done) {
      reactor.RunPass(Millis(10));
    }
    return outcome == CallOutcome::Complete;
  });
  reactor.Drop();
}

// Guards carawayd's calls to services, and its orders to engines.
TEST_F(BrokenHeadsTest, HttpCallIsLost)
{
  ExpectNone("body", [&] {
    return HttpCallOnce(Call("x")).mStage == HttpStage::Answered;
  });
}

// Guards carawayd's calls to the platform and to other instances, on new
// connections and on kept ones.
TEST_F(BrokenHeadsTest, PooledCallIsLost)
{
  HttpPool pool;
  ExpectNone("body", [&] {
    bool kept = pool.Call(Call("")).mStage == HttpStage::Answered;
    EXPECT_TRUE(kept);
    HttpCall once = Call("x");
    once.mResend = false;
    return pool.Call(Call("x")).mStage == HttpStage::Answered ||
           pool.Call(once).mStage == HttpStage::Answered;
  });
}

// Guards carawayd's streams from engines.
TEST_F(BrokenHeadsTest, EngineAnswerIsBroken)
{
  GenerateCall call;
  call.mAddress = mServer.Address();
  call.mRequestId = "r1";
  call.mMessages = Json::Value(Json::arrayValue);
  ExpectNone("{\"id\":\"r1\",\"end\":true,\"n\":0,\"reason\":\"stop\"}\n", [&] {
    auto result = EngineGenerate(call, [](const std::string&) { return true; });
    return result.mOutcome != GenerateOutcome::Broken;
  });
}

// Guards what carawayctl prints and writes by an instance's answer.
TEST_F(BrokenHeadsTest, CommandLineFails)
{
  ExpectNone("{\"result\":{}}", [&] {
    Json::Value body(Json::objectValue);
    AdminClient client(mServer.Address(), "key");
    auto posted = Outcome([&] { return client.Post("/x", body); });
    auto called =
      Outcome([&] { return CallInstance(mServer.Address(), "parts", body); });
    return std::holds_alternative<Json::Value>(posted) ||
           std::holds_alternative<Json::Value>(called);
  });
}

// Guards claims and placements in the platform's objects, and its lists.
TEST_F(BrokenHeadsTest, PlatformAnswerCountsForNothing)
{
  BootClock clock;
  PlatformClientSettings settings;
  settings.mAddress = mServer.Address();
  settings.mMaxAttempts = 1;
  settings.mBackoff = Millis(1);
  settings.mCallsPerSecond = 1e6;
  PlatformClient client(settings, clock);
  PlatformWrite write;
  write.mKind = "claims";
  write.mName = "c1";
  write.mWriteId = "w1";
  write.mValue = "held";
  ExpectNone(R"({"name":"c1","version":1,"write_id":"w1"})", [&] {
    return client.Write(write).mOutcome != WriteOutcome::Unknown;
  });
  mServer.SetSoundBelow(0); // reads have no body
  ExpectNone(R"({"name":"c1","version":1})", [&] {
    auto read = Outcome([&] { return client.Read("claims", "c1"); });
    return std::holds_alternative<PlatformObject>(read);
  });
  ExpectNone(R"({"objects":[],"instances":[]})", [&] {
    auto list = Outcome([&] { return client.List("claims", ""); });
    auto instances = Outcome([&] { return client.Instances(); });
    return std::holds_alternative<std::vector<PlatformObject>>(list) ||
           std::holds_alternative<std::vector<InstanceInfo>>(instances);
  });
}

} // namespace caraway
