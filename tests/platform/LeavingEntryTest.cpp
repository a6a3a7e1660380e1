// An instance that is told to stop: unready at once, nothing cut, nothing
// read and dropped.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryWorld.h"

namespace caraway {

namespace {

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" } };

} // namespace

TEST(LeavingEntry, StreamUnderWayEndsWhole)
{
  EntryWorld world;
  world.mEngines[0]->mEventGap = Millis(500);
  world.AwaitReady();
  CallerPtr call = world.Send(0, "/stream/stream", "r1", kModel);
  ASSERT_TRUE(world.Until([&] { return call->mStatus == 200; }, Seconds(1)));
  world.mInstances[0]->Leave();
  EXPECT_FALSE(world.mInstances[0]->Ready());
  EXPECT_TRUE(world.Until([&] { return call->mWhole; }, Seconds(5)));
  EXPECT_TRUE(
    world.Until([&] { return world.mInstances[0]->Gone(); }, Seconds(5)));
}

// The balancer sends callers on for a while after the instance is unready.
TEST(LeavingEntry, CallersThatStillComeAreServed)
{
  EntryWorld world;
  world.AwaitReady();
  world.mInstances[0]->Leave();
  for (int i = 0; i < 4; ++i) {
    CallerPtr call = world.Call(0, "/order/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
    EXPECT_EQ("close", call->Field("Connection"));
    world.For(Millis(400));
  }
}

// A request waits for a model that doesn't come while its instance is told to
// stop. Held to the end it would be cut; another instance can still serve it.
TEST(LeavingEntry, WaitingRequestIsSentAway)
{
  EntryWorld world;
  world.mEngines[0]->mLoadTime = Seconds(60);
  world.mConfig["routes"][3]["timeoutMs"] = 25000;
  world.mConfig["routes"][3]["targetLatencyMs"] = 3000;
  world.Configure();
  world.AwaitReady();
  world.For(Seconds(1));
  CallerPtr call = world.Send(0,
                              "/resume/stream",
                              "r1",
                              { { wire::kModel, "m1" },
                                { wire::kTokens, "1,1" },
                                { wire::kDeadline, "25000" } });
  world.For(Millis(300));
  ASSERT_EQ(0, call->mStatus);
  world.mInstances[0]->Leave();
  EXPECT_TRUE(world.Until([&] { return call->mStatus != 0; }, Millis(2500)));
  EXPECT_EQ(503, call->mStatus);
  EXPECT_NE("", call->Field(wire::kRetryAfter));
  EXPECT_EQ(0, world.RunsOf("r1"));
}

} // namespace caraway
