#include <gtest/gtest.h>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

std::string
ExpectedText(int aCount)
{
  std::string text;
  for (int i = 0; i < aCount; ++i) {
    text += "w" + std::to_string(i) + " ";
  }
  return text;
}

std::string
Content(const HttpReply& aReply)
{
  return JsonParseOrEmpty(aReply.mBody)["choices"][0]["message"]["content"]
    .asString();
}

} // namespace

class CompleteAnswer : public testing::TestWithParam<const char*>
{};

// The engine cuts the stream, sends another request's token, skips one, sends
// one twice, or ends early with an end marker. The caller must get the complete
// answer with each token once: correct tokens are kept and generation resumes
// after them, at another engine or at the same one.
TEST_P(CompleteAnswer, BrokenStreamsAreResumed)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mEngines = 2;
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  ASSERT_EQ(Content(fleet.Chat(0, key, "chat-m0", 3)), ExpectedText(3));
  Json::Value fault;
  fault[GetParam()] = 7;
  for (auto& engine : fleet.mEngines) {
    fleet.Call(engine->Address(), "POST", "/control", fault);
  }
  HttpReply reply = fleet.Chat(0, key, "chat-m0", 20);
  EXPECT_EQ(Content(reply), ExpectedText(20)) << reply.mBody;
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         CompleteAnswer,
                         testing::Values("cut_after",
                                         "crossed_at",
                                         "skip_at",
                                         "double_at",
                                         "early_end_at"),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param);
                         });

// The only engine dies during a stream. The caller must get the tokens so far
// and an error event, and no end marker: a short answer must never look
// complete.
TEST(CompleteAnswerLost, LostEngineGivesErrorEventAndNoEndMarker)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 1 };
  plan.mEngines = 1;
  plan.mEngineFlags = { "--token_ms=20" };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  fleet.Chat(0, key, "chat-m0", 1);
  HttpReply reply;
  std::thread caller([&] { reply = fleet.Chat(0, key, "chat-m0", 100, true); });
  EXPECT_TRUE(Eventually(
    Seconds(5), [&] { return fleet.EngineState(0)["active"].asInt() == 1; }));
  std::this_thread::sleep_for(Millis(300));
  fleet.mEngines[0]->Kill();
  caller.join();
  EXPECT_NE(reply.mBody.find("event: error"), std::string::npos);
  EXPECT_EQ(reply.mBody.find("[DONE]"), std::string::npos);
  EXPECT_NE(reply.mBody.find("w3 "), std::string::npos);
}

} // namespace caraway
