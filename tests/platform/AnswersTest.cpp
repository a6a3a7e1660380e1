// A caller gets the whole answer to its own request, and what may not run
// twice doesn't, whatever servers do with their connections.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

bool
StatusMeansNotRun(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

void
SetManners(EntryTestFleet& aWorld, ServerBehaviour aManners)
{
  for (auto& server : aWorld.mPlain) {
    server->mBehaviour = aManners;
  }
}

} // namespace

TEST(Answers, ServersStatusBodyAndSealComeUnchanged)
{
  EntryTestFleet world;
  world.AwaitReady();
  TestCallPtr call = world.Call(0, "/order/x?y=1", "r1", {}, "pay");
  EXPECT_EQ(200, call->mStatus);
  EXPECT_EQ("answer to r1 of pay", call->mBody);
  EXPECT_NE("", call->Field(wire::kSeal));
  SetManners(world, ServerBehaviour::Fails);
  TestCallPtr failed = world.Call(0, "/order/x", "r2");
  EXPECT_EQ(500, failed->mStatus);
  EXPECT_EQ("failed", failed->mBody);
  EXPECT_NE("", failed->Field(wire::kSeal));
}

// The server runs an order and its connection breaks before the answer. The
// caller must not hear that it didn't run, and no second server may get it.
TEST(Answers, OrderWhoseAnswerIsLostRunsOnceAndIsNotDenied)
{
  EntryTestFleet world;
  world.AwaitReady();
  SetManners(world, ServerBehaviour::RunsThenCloses);
  TestCallPtr call = world.Call(0, "/order/x", "r1");
  EXPECT_NE(0, call->mStatus);
  EXPECT_FALSE(StatusMeansNotRun(call->mStatus));
  EXPECT_EQ(1, world.RunsOf("r1"));
}

// A read may run twice: it goes to the other server.
TEST(Answers, ReadWhoseAnswerIsLostIsAskedOfAnother)
{
  EntryTestFleet world;
  world.AwaitReady();
  world.mPlain[0]->mBehaviour = ServerBehaviour::RunsThenCloses;
  // Servers are drawn: until that one was asked, too.
  for (int i = 0; i < 8 || (i < 64 && world.mPlain[0]->mRuns.empty()); ++i) {
    TestCallPtr call = world.Call(0, "/safe/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
  }
  EXPECT_GT(world.mPlain[0]->mRuns.size(), 0u);
}

TEST(Answers, ReadThatFailedIsAskedOfAnother)
{
  EntryTestFleet world;
  world.AwaitReady();
  world.mPlain[0]->mBehaviour = ServerBehaviour::Fails;
  for (int i = 0; i < 8; ++i) {
    TestCallPtr call = world.Call(0, "/safe/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
  }
}

// Servers prove that they did not run the order. The refusal is true, and
// says when to come back.
TEST(Answers, RefusalIsTrueAndSaysWhenToComeBack)
{
  EntryTestFleet world;
  world.AwaitReady();
  SetManners(world, ServerBehaviour::Refuses);
  TestCallPtr call = world.Call(0, "/order/x", "r1");
  EXPECT_EQ(503, call->mStatus);
  EXPECT_NE("", call->Field(wire::kRetryAfter));
  world.For(Millis(300));
  EXPECT_EQ(0, world.RunsOf("r1"));
}

// An answer that ends early, comes unmarked, in another coding or as noise
// isn't the server's: the caller never gets it as a success.
TEST(Answers, SpoiltAnswersNeverLookWhole)
{
  for (ServerBehaviour manners : { ServerBehaviour::Truncates,
                                   ServerBehaviour::Unsealed,
                                   ServerBehaviour::Encoded,
                                   ServerBehaviour::Garbage }) {
    EntryTestFleet world;
    world.AwaitReady();
    SetManners(world, manners);
    TestCallPtr call = world.Call(0, "/order/x", "r1");
    EXPECT_GE(call->mStatus, 500);
    EXPECT_FALSE(StatusMeansNotRun(call->mStatus));
    EXPECT_EQ(1, world.RunsOf("r1"));
  }
}

// A late answer to somebody else comes before the right one, or a second one
// behind it. Each caller gets its own, also the next on that connection.
TEST(Answers, ForeignAnswersReachNobody)
{
  for (ServerBehaviour manners :
       { ServerBehaviour::LateAnswer, ServerBehaviour::ExtraAnswer }) {
    EntryTestFleet world;
    world.AwaitReady();
    SetManners(world, manners);
    for (int i = 0; i < 6; ++i) {
      std::string id = "r" + std::to_string(i);
      TestCallPtr call = world.Call(0, "/order/x", id, {}, "b");
      EXPECT_EQ(200, call->mStatus);
      EXPECT_EQ("answer to " + id + " of b", call->mBody);
      EXPECT_EQ("", call->mOver);
    }
  }
}

// A read fails wherever it runs. It runs as often as its route names servers
// for, not on and on: the budget of repeats is everybody's.
TEST(Answers, ReadThatFailsEverywhereRunsTwice)
{
  EntryTestFleet world;
  world.AwaitReady();
  SetManners(world, ServerBehaviour::Fails);
  EXPECT_EQ(500, world.Call(0, "/safe/x", "r1")->mStatus);
  EXPECT_EQ(2, world.RunsOf("r1"));
}

// Guards against "not run" for a read that one server ran and failed, and all
// others refused.
TEST(Answers, ReadThatRanAndFailedIsntRefusedAsNotRun)
{
  for (int first : { 0, 1 }) {
    EntryTestFleet world;
    world.AwaitReady();
    world.mPlain[first]->mBehaviour = ServerBehaviour::Fails;
    world.mPlain[1 - first]->mBehaviour = ServerBehaviour::Refuses;
    for (int i = 0; i < 6; ++i) {
      std::string id = "r" + std::to_string(i);
      int status = world.Call(0, "/safe/x", id)->mStatus;
      EXPECT_TRUE(status != 503 || world.RunsOf(id) == 0) << id;
    }
  }
}

// A server is gone and its address is another's, while its entry is still
// listed. The other one refuses what isn't meant for it; it is asked once, not
// by each request again and again.
TEST(Answers, AddressOfAnotherServerIsLeftAlone)
{
  EntryTestFleet world;
  world.AwaitReady();
  world.mPlain[0]->mExpectedId = "somebody-else";
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(200, world.Call(0, "/order/x", "r" + std::to_string(i))->mStatus);
  }
  EXPECT_LE(world.mPlain[0]->mArrivals, 1);
}

// A server never answers: the final answer comes when the route's time is up,
// and the server is told to stop.
TEST(Answers, RoutesTimeEndsARequest)
{
  EntryTestFleet world;
  world.mConfig["routes"][1]["timeoutMs"] = 300;
  world.Configure();
  world.AwaitReady();
  world.For(Seconds(2));
  SetManners(world, ServerBehaviour::Hangs);
  TestCallPtr call = world.Call(0, "/order/x", "r1");
  EXPECT_EQ(504, call->mStatus);
  EXPECT_LT(call->mHeadAt - call->mAsked, Millis(600));
  EXPECT_TRUE(world.Until(
    [&] { return world.mPlain[0]->mLeft + world.mPlain[1]->mLeft == 1; },
    Millis(500)));
}

} // namespace caraway
