// Servers that fail when they have to reject too many requests in a second, and
// say how many.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" } };

constexpr int kLimit = 3;

} // namespace

// Guards against a full server that is brought down by requests that it has to
// reject: each one waits, or is refused here, and isn't sent in vain.
TEST(RejectionLimit, FullServerIsLeftAlone)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  StandInServer& engine = *fleet.mEngines[0];
  engine.mRejectionLimit = kLimit;
  engine.mBehaviour = ServerBehaviour::Refuses;
  TestCallPtr first = fleet.Send(0, "/stream/stream", "first", kModel);
  fleet.RunUntil([&] { return engine.mArrivals > 0; }, Seconds(1));
  fleet.RunFor(Millis(100));
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < 20; ++i) {
    calls.push_back(
      fleet.Send(0, "/stream/stream", "r" + std::to_string(i), kModel));
    fleet.RunFor(Millis(30));
  }
  EXPECT_LE(engine.mArrivals, kLimit);
  engine.mBehaviour = ServerBehaviour::Proper;
  fleet.RunFor(Seconds(2));
  for (const TestCallPtr& call : calls) {
    EXPECT_EQ(200, call->mStatus);
  }
}

// Guards against a burst at all instances, each of which sees a free server:
// together they send no more than it has slots.
TEST(RejectionLimit, BurstAtAllInstancesFindsRoom)
{
  EntryFleetOptions options;
  options.mInstances = 4;
  EntryTestFleet fleet(options);
  fleet.AwaitReady();
  StandInServer& engine = *fleet.mEngines[0];
  engine.mRejectionLimit = kLimit;
  engine.mEventGap = Millis(200);
  for (size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(200,
              fleet.Call(i, "/stream/stream", "f" + std::to_string(i), kModel)
                ->mStatus);
  }
  engine.mArrivals = 0;
  std::vector<TestCallPtr> calls;
  for (int n = 0; n < 80; ++n) {
    calls.push_back(fleet.Send(static_cast<size_t>(n) % 4,
                               "/stream/stream",
                               "r" + std::to_string(n),
                               kModel));
  }
  fleet.RunFor(Millis(150));
  constexpr int kSlots = 32;
  EXPECT_LE(engine.mArrivals, kSlots);
  EXPECT_GT(engine.mArrivals, kSlots / 2);
}

// Guards against the caution that stays after the server has stopped asking for
// it.
TEST(RejectionLimit, EndsWithTheFirstAnswerWithoutIt)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  StandInServer& engine = *fleet.mEngines[0];
  engine.mRejectionLimit = kLimit;
  fleet.Call(0, "/stream/stream", "r1", kModel);
  const Backend* server =
    fleet.mInstances[0]->State().mServers.Find(engine.Id());
  ASSERT_NE(nullptr, server);
  EXPECT_TRUE(server->mRejectionLimit);
  engine.mRejectionLimit = 0;
  fleet.Call(0, "/stream/stream", "r2", kModel);
  EXPECT_FALSE(server->mRejectionLimit);
}

} // namespace caraway
