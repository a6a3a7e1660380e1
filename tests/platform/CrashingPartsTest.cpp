// Requests with one part in their prompts crash each server that begins to
// answer them. They come at any instance, no two alike; sound requests share
// their key, their first part or another one with them.

#include "platform/WireNames.h"
#include "support/CrashingPartsFleet.h"

namespace caraway {

namespace {

using CrashingParts = CrashingPartsFleet;

// Requests that may reach servers later than the stable window after the fifth
// crash.
constexpr int kMostLater = 3;

// A request that is refused without being held is answered within this time.
constexpr Millis kAtOnce{ 50 };

} // namespace

// Guards against streams that crash server after server for good, as each is a
// new request at another instance (BUDGET).
TEST_F(CrashingParts, StreamsAreStopped)
{
  SendMixed("/stream/stream", 40, Millis(300));
  EXPECT_LE(SentTooLate(), kMostLater) << Crashes().size() << " crashes";
}

// Guards against resumable streams that crash a second server each, as they are
// resumed there (BUDGET).
TEST_F(CrashingParts, ResumableStreamsAreStopped)
{
  SendMixed("/resume/stream", 40, Millis(300));
  EXPECT_LE(SentTooLate(), kMostLater) << Crashes().size() << " crashes";
}

// Guards against callers that are held until their deadline, or not told that
// nothing ran, when their request can't be served.
TEST_F(CrashingParts, BlockedRequestIsRefusedAtOnce)
{
  CrashUntilBlocked("/stream/stream");
  size_t crashes = Crashes().size();
  for (size_t i = 0; i < mFleet.Instances(); ++i) {
    TestCallPtr call = SendGuilty("/stream/stream");
    mFleet.RunUntil([&call] { return call->mComplete; }, Seconds(1));
    EXPECT_EQ(503, call->mStatus);
    EXPECT_LT(call->mCompleteAt - call->mSentAt, kAtOnce);
    EXPECT_GT(std::stod("0" + call->Field(wire::kRetryAfter)), 1);
    EXPECT_EQ(0, mFleet.RunsOf("b" + std::to_string(mNumber)));
  }
  EXPECT_EQ(crashes, Crashes().size());
}

// Guards against sound requests that are refused with the guilty ones, since
// they share their key, their first part or another one (LOST).
TEST_F(CrashingParts, SoundRequestsAreServedBesideBlockedOnes)
{
  CrashUntilBlocked("/stream/stream");
  mFleet.RunFor(Seconds(1));
  mSound.clear();
  SendMixed("/stream/stream", 20, Millis(100));
  mFleet.RunFor(Seconds(2));
  EXPECT_EQ(mSound.size(), Served(mSound));
}

// Guards against sound requests that are refused for a part that no sound
// request had had before the verdict, so that nothing told it from the guilty
// one (LOST).
TEST_F(CrashingParts, SoundRequestsWithAPartOfAllCrashesAreServed)
{
  for (int i = 0; i < 8; ++i) {
    SendGuilty("/stream/stream");
    mFleet.RunFor(Millis(600));
  }
  ASSERT_TRUE(AllBlock());
  SendMixed("/stream/stream", 20, Millis(200));
  mFleet.RunFor(Seconds(1));
  EXPECT_EQ(mSound.size(), Served(mSound));
  EXPECT_LE(SentTooLate(), kMostLater);
}

// Guards against an innocent part blocked with the guilty one, since it was in
// the same requests.
TEST_F(CrashingParts, OnlyTheGuiltyPartIsBlocked)
{
  SendMixed("/stream/stream", 25, Millis(300));
  ASSERT_TRUE(AllBlock());
  EXPECT_EQ(0, LogLinesOfAll("\"event\":\"part_blocked\",\"part\":\"aa11\""));
  EXPECT_EQ(0, LogLinesOfAll("\"event\":\"part_blocked\",\"part\":\"cc22\""));
  for (auto& instance : mFleet.mInstances) {
    EXPECT_EQ(1u, instance->PartsBlocked());
  }
}

// Guards against a request that reaches a server after the verdict, as it was
// admitted before and waited for its model.
TEST_F(CrashingParts, WaitingRequestIsRefusedByTheVerdict)
{
  for (auto& engine : mFleet.mEngines) {
    engine->mLoadTime = Millis(8000);
  }
  mFleet.mConfig["services"][1]["engine"]["models"][1]["loadS"] = 0.1;
  mFleet.mConfig["routes"][2]["timeoutMs"] = 12000;
  mFleet.mConfig["routes"][2]["targetLatencyMs"] = 3000;
  mFleet.Configure();
  mFleet.RunFor(Millis(500));
  TestCallPtr waiting =
    mFleet.Send(0,
                "/stream/stream",
                "w1",
                { { wire::kModel, "m1" },
                  { wire::kTokens, "100,50" },
                  { wire::kDeadline, "11000" },
                  { wire::kPromptParts, "ee77:60,bad0:30,f0:1" } });
  CrashUntilBlocked("/stream/stream");
  mFleet.RunUntil([&] { return waiting->mComplete; }, Seconds(10));
  EXPECT_EQ(503, waiting->mStatus);
  EXPECT_EQ(0, mFleet.RunsOf("w1"));
}

// Guards against a request that a peer sends to a server, as the instance that
// is cut off from servers forwards it.
TEST_F(CrashingParts, BlockedRequestIsNotForwarded)
{
  CrashUntilBlocked("/stream/stream");
  mFleet.CutOffFromServers(0, "127.0.0.1:9");
  for (int i = 0; i < 4; ++i) {
    mFleet.Call(0, "/safe/x", "p" + std::to_string(i));
  }
  size_t crashes = Crashes().size();
  TestCallPtr call = mFleet.Call(
    0, "/stream/stream", "c1", PromptFields("aa11:60,bad0:30,f0:1"));
  EXPECT_EQ(503, call->mStatus);
  EXPECT_EQ(crashes, Crashes().size());
  EXPECT_EQ(0, mFleet.RunsOf("c1"));
}

// Guards against a caller's resumed stream that crashes the next server, as it
// counts as a new request.
TEST_F(CrashingParts, CallersResumptionIsRefused)
{
  CrashUntilBlocked("/resume/stream");
  std::vector<HttpField> fields = PromptFields("aa11:60,bad0:30,f0:1");
  fields.push_back({ wire::kLastEvent, "1" });
  fields.push_back({ wire::kResumes, "b1" });
  size_t crashes = Crashes().size();
  TestCallPtr call = mFleet.Call(2, "/resume/stream", "r1", fields);
  EXPECT_EQ(503, call->mStatus);
  EXPECT_EQ(crashes, Crashes().size());
}

// Guards against crashes that go unnoticed, as an answer without a length looks
// whole when its server ends between two events.
TEST_F(CrashingParts, AnswersWithoutLengthAreStopped)
{
  for (auto& engine : mFleet.mEngines) {
    engine->mUnframed = true;
    engine->mCrashesBetweenEvents = true;
  }
  SendMixed("/stream/stream", 40, Millis(300));
  EXPECT_LE(SentTooLate(), kMostLater) << Crashes().size() << " crashes";
}

} // namespace caraway
