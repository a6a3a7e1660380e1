// Answers with neither a length nor chunks end with their connection. A broken
// one is never passed on as complete, a whole one never as broken.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" } };

std::string
Events(int aLast)
{
  std::string text;
  for (int i = 1; i <= aLast; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

class AnswersWithoutLength : public testing::Test
{
protected:
  AnswersWithoutLength()
    : mFleet(Options())
  {
    mFleet.AwaitReady();
    for (auto& engine : mFleet.mEngines) {
      engine->mUnframed = true;
    }
    for (auto& server : mFleet.mPlain) {
      server->mUnframed = true;
    }
  }
  static EntryFleetOptions Options()
  {
    EntryFleetOptions options;
    options.mEngines = 2;
    return options;
  }
  void BreakEngines()
  {
    for (auto& engine : mFleet.mEngines) {
      engine->mBehaviour = ServerBehaviour::StopsMidway;
    }
  }
  void BreakPlainServers(bool aReset)
  {
    for (auto& server : mFleet.mPlain) {
      server->mBehaviour = ServerBehaviour::Truncates;
      server->mResets = aReset;
    }
  }

  EntryTestFleet mFleet;
};

} // namespace

// Guards against a stream that looks complete though its server's process ended
// in the middle of an event: its connection is then closed in order, as after a
// whole answer.
TEST_F(AnswersWithoutLength, StreamClosedInsideAnEventIsBroken)
{
  BreakEngines();
  TestCallPtr call = mFleet.Call(0, "/stream/stream", "r1", kModel);
  EXPECT_TRUE(call->mClosed);
  EXPECT_FALSE(call->mComplete);
  EXPECT_EQ(1, mFleet.RunsOf("r1"));
}

// Guards against half an event, and no more, where another server could resume.
TEST_F(AnswersWithoutLength, StreamClosedInsideAnEventIsResumed)
{
  mFleet.mEngines[0]->mBehaviour = ServerBehaviour::StopsMidway;
  for (int i = 0; i < 6; ++i) {
    std::string id = "r" + std::to_string(i);
    TestCallPtr call = mFleet.Call(0, "/resume/stream", id, kModel);
    EXPECT_TRUE(call->mComplete);
    EXPECT_EQ(Events(5), call->mBody);
  }
  EXPECT_FALSE(mFleet.mEngines[0]->mRuns.empty());
}

// Guards against a stream that ends inside an event and is passed on as
// complete because its server's framing said so.
TEST_F(AnswersWithoutLength, FramedStreamThatEndsInsideAnEventIsBroken)
{
  BreakEngines();
  for (auto& engine : mFleet.mEngines) {
    engine->mUnframed = false;
    engine->mEndsBrokenStreams = true;
  }
  TestCallPtr call = mFleet.Call(0, "/stream/stream", "r1", kModel);
  EXPECT_TRUE(call->mClosed);
  EXPECT_FALSE(call->mComplete);
}

// Guards against whole streams that count as broken for want of a length.
TEST_F(AnswersWithoutLength, WholeStreamIsComplete)
{
  for (const char* path : { "/stream/stream", "/resume/stream" }) {
    TestCallPtr call = mFleet.Call(0, path, std::string("r") + path, kModel);
    EXPECT_TRUE(call->mComplete);
    EXPECT_EQ(Events(5), call->mBody);
    EXPECT_EQ(1, mFleet.RunsOf(std::string("r") + path));
  }
}

// Guards against whole answers of plain services that count as lost, and run
// twice or are reported as such, for want of a length.
TEST_F(AnswersWithoutLength, WholePlainAnswerIsComplete)
{
  for (const char* path : { "/order/x", "/safe/x" }) {
    std::string id = std::string("r") + path;
    TestCallPtr call = mFleet.Call(0, path, id);
    EXPECT_EQ(200, call->mStatus);
    EXPECT_EQ("answer to " + id + " of body", call->mBody);
    EXPECT_EQ(1, mFleet.RunsOf(id));
  }
}

// Guards against the part of an answer that arrived before a reset, passed on
// as the whole.
TEST_F(AnswersWithoutLength, ResetAnswerIsBroken)
{
  BreakPlainServers(true);
  TestCallPtr call = mFleet.Call(0, "/order/x", "r1");
  EXPECT_EQ(502, call->mStatus);
  EXPECT_EQ(1, mFleet.RunsOf("r1"));
}

// Guards against the same part of a stream, whose last event is whole.
TEST_F(AnswersWithoutLength, ResetStreamIsBroken)
{
  for (auto& engine : mFleet.mEngines) {
    engine->mBehaviour = ServerBehaviour::StopsMidway;
    engine->mResets = true;
  }
  TestCallPtr call = mFleet.Call(0, "/stream/stream", "r1", kModel);
  EXPECT_TRUE(call->mClosed);
  EXPECT_FALSE(call->mComplete);
}

} // namespace caraway
