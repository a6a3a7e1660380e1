// Streams: events are forwarded as they arrive, each exactly once, and a stream
// looks complete only if its server completed it.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" } };

std::string
Events(int aFirst, int aLast)
{
  std::string text;
  for (int i = aFirst; i <= aLast; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

EntryFleetOptions
TwoEngines()
{
  EntryFleetOptions options;
  options.mEngines = 2;
  return options;
}

} // namespace

TEST(Streams, EventsAreForwardedAsTheyArrive)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mEngines[0]->mEventGap = Millis(150);
  TestCallPtr call = fleet.Send(0, "/stream/stream", "r1", kModel);
  EXPECT_TRUE(
    fleet.RunUntil([&] { return call->mBody == Events(1, 1); }, Millis(300)));
  EXPECT_FALSE(call->mComplete);
  EXPECT_TRUE(fleet.RunUntil([&] { return call->mComplete; }, Seconds(3)));
  EXPECT_EQ(Events(1, 5), call->mBody);
}

// Guards against a stream that looks complete though its server stopped in the
// middle of an event, and against a second run of a non-repeatable one.
TEST(Streams, BrokenStreamDoesNotLookComplete)
{
  EntryTestFleet fleet(TwoEngines());
  fleet.AwaitReady();
  for (auto& engine : fleet.mEngines) {
    engine->mBehaviour = ServerBehaviour::StopsMidway;
  }
  TestCallPtr call = fleet.Call(0, "/stream/stream", "r1", kModel);
  EXPECT_TRUE(call->mClosed);
  EXPECT_FALSE(call->mComplete);
  EXPECT_EQ(1, fleet.RunsOf("r1"));
}

// As above for a resumable stream: another server resumes after the last event
// that the caller has completely.
TEST(Streams, ResumedStreamHasNoGapAndNoRepeat)
{
  for (int i = 0; i < 4; ++i) {
    EntryTestFleet fleet(TwoEngines());
    fleet.AwaitReady();
    fleet.mEngines[0]->mBehaviour = ServerBehaviour::StopsMidway;
    std::string id = "r" + std::to_string(i);
    TestCallPtr call = fleet.Call(0, "/resume/stream", id, kModel);
    EXPECT_TRUE(call->mComplete);
    EXPECT_EQ(Events(1, 5), call->mBody);
    if (!fleet.mEngines[0]->mRuns.empty()) {
      ASSERT_EQ(1u, fleet.mEngines[1]->mRuns.size());
      EXPECT_EQ("2", fleet.mEngines[1]->mRuns[0].mLastEvent);
    }
  }
}

// Guards against a server that works on after its caller has disconnected: its
// connection is closed within half a second.
TEST(Streams, DisconnectStopsTheServer)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mEngines[0]->mEvents = 1000;
  TestCallPtr call = fleet.Send(0, "/stream/stream", "r1", kModel);
  ASSERT_TRUE(fleet.RunUntil([&] { return call->mStatus == 200; }, Seconds(1)));
  call->mChannel->Close();
  EXPECT_TRUE(
    fleet.RunUntil([&] { return fleet.mEngines[0]->mLeft == 1; }, Millis(500)));
}

TEST(Streams, DisconnectBeforeTheFirstEventStopsTheServer)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mEngines[0]->mWork = Seconds(5);
  TestCallPtr call = fleet.Send(0, "/stream/stream", "r1", kModel);
  ASSERT_TRUE(fleet.RunUntil([&] { return !fleet.mEngines[0]->mRuns.empty(); },
                             Seconds(1)));
  call->mChannel->Close();
  EXPECT_TRUE(
    fleet.RunUntil([&] { return fleet.mEngines[0]->mLeft == 1; }, Millis(500)));
}

} // namespace caraway
