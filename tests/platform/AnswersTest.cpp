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
SetBehaviour(EntryTestFleet& aFleet, ServerBehaviour aBehaviour)
{
  for (auto& server : aFleet.mPlain) {
    server->mBehaviour = aBehaviour;
  }
}

} // namespace

TEST(Answers, ServersAnswerIsForwardedUnchanged)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  TestCallPtr call = fleet.Call(0, "/order/x?y=1", "r1", {}, "pay");
  EXPECT_EQ(200, call->mStatus);
  EXPECT_EQ("answer to r1 of pay", call->mBody);
  EXPECT_NE("", call->Field(wire::kSeal));
  SetBehaviour(fleet, ServerBehaviour::Fails);
  TestCallPtr failed = fleet.Call(0, "/order/x", "r2");
  EXPECT_EQ(500, failed->mStatus);
  EXPECT_EQ("failed", failed->mBody);
  EXPECT_NE("", failed->Field(wire::kSeal));
}

// The server runs an order and its connection breaks before the answer. The
// caller must not hear that it didn't run, and no second server may get it.
TEST(Answers, OrderWithLostAnswerRunsOnceAndIsNotReportedAsNotRun)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  SetBehaviour(fleet, ServerBehaviour::RunsThenCloses);
  TestCallPtr call = fleet.Call(0, "/order/x", "r1");
  EXPECT_NE(0, call->mStatus);
  EXPECT_FALSE(StatusMeansNotRun(call->mStatus));
  EXPECT_EQ(1, fleet.RunsOf("r1"));
}

// A read may run twice: it goes to the other server.
TEST(Answers, ReadWithLostAnswerIsRetriedOnAnotherServer)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mPlain[0]->mBehaviour = ServerBehaviour::RunsThenCloses;
  // Servers are drawn: until that one was asked, too.
  for (int i = 0; i < 8 || (i < 64 && fleet.mPlain[0]->mRuns.empty()); ++i) {
    TestCallPtr call = fleet.Call(0, "/safe/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
  }
  EXPECT_GT(fleet.mPlain[0]->mRuns.size(), 0u);
}

TEST(Answers, FailedReadIsRetriedOnAnotherServer)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mPlain[0]->mBehaviour = ServerBehaviour::Fails;
  for (int i = 0; i < 8; ++i) {
    TestCallPtr call = fleet.Call(0, "/safe/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
  }
}

// Servers prove that they did not run the order. The refusal is true, and
// says when to come back.
TEST(Answers, RefusedOrderHasNotRunAndHasRetryAfter)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  SetBehaviour(fleet, ServerBehaviour::Refuses);
  TestCallPtr call = fleet.Call(0, "/order/x", "r1");
  EXPECT_EQ(503, call->mStatus);
  EXPECT_NE("", call->Field(wire::kRetryAfter));
  fleet.For(Millis(300));
  EXPECT_EQ(0, fleet.RunsOf("r1"));
}

// An answer that ends early, comes unmarked, in another coding or as noise
// isn't the server's: the caller never gets it as a success.
TEST(Answers, AlteredAnswersAreNeverForwardedAsSuccess)
{
  for (ServerBehaviour behaviour : { ServerBehaviour::Truncates,
                                     ServerBehaviour::Unsealed,
                                     ServerBehaviour::Encoded,
                                     ServerBehaviour::Garbage }) {
    EntryTestFleet fleet;
    fleet.AwaitReady();
    SetBehaviour(fleet, behaviour);
    TestCallPtr call = fleet.Call(0, "/order/x", "r1");
    EXPECT_GE(call->mStatus, 500);
    EXPECT_FALSE(StatusMeansNotRun(call->mStatus));
    EXPECT_EQ(1, fleet.RunsOf("r1"));
  }
}

// A late answer to somebody else comes before the right one, or a second one
// behind it. Each caller gets its own, also the next on that connection.
TEST(Answers, AnswersToOtherRequestsAreDiscarded)
{
  for (ServerBehaviour behaviour :
       { ServerBehaviour::LateAnswer, ServerBehaviour::ExtraAnswer }) {
    EntryTestFleet fleet;
    fleet.AwaitReady();
    SetBehaviour(fleet, behaviour);
    for (int i = 0; i < 6; ++i) {
      std::string id = "r" + std::to_string(i);
      TestCallPtr call = fleet.Call(0, "/order/x", id, {}, "b");
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
  EntryTestFleet fleet;
  fleet.AwaitReady();
  SetBehaviour(fleet, ServerBehaviour::Fails);
  EXPECT_EQ(500, fleet.Call(0, "/safe/x", "r1")->mStatus);
  EXPECT_EQ(2, fleet.RunsOf("r1"));
}

// Guards against "not run" for a read that one server ran and failed, and all
// others refused.
TEST(Answers, ReadThatRanAndFailedIsNotReportedAsNotRun)
{
  for (int first : { 0, 1 }) {
    EntryTestFleet fleet;
    fleet.AwaitReady();
    fleet.mPlain[first]->mBehaviour = ServerBehaviour::Fails;
    fleet.mPlain[1 - first]->mBehaviour = ServerBehaviour::Refuses;
    for (int i = 0; i < 6; ++i) {
      std::string id = "r" + std::to_string(i);
      int status = fleet.Call(0, "/safe/x", id)->mStatus;
      EXPECT_TRUE(status != 503 || fleet.RunsOf(id) == 0) << id;
    }
  }
}

// A server is gone and its address is another's, while its entry is still
// listed. The other one refuses what isn't meant for it; it is asked once, not
// by each request again and again.
TEST(Answers, ReusedServerAddressIsAvoided)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mPlain[0]->mExpectedId = "somebody-else";
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(200, fleet.Call(0, "/order/x", "r" + std::to_string(i))->mStatus);
  }
  EXPECT_LE(fleet.mPlain[0]->mArrivals, 1);
}

// A server never answers: the final answer comes when the route's time is up,
// and the server is told to stop.
TEST(Answers, RequestEndsAtTheRoutesTimeout)
{
  EntryTestFleet fleet;
  fleet.mConfig["routes"][1]["timeoutMs"] = 300;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.For(Seconds(2));
  SetBehaviour(fleet, ServerBehaviour::Hangs);
  TestCallPtr call = fleet.Call(0, "/order/x", "r1");
  EXPECT_EQ(504, call->mStatus);
  EXPECT_LT(call->mHeadAt - call->mAsked, Millis(600));
  EXPECT_TRUE(fleet.Until(
    [&] { return fleet.mPlain[0]->mLeft + fleet.mPlain[1]->mLeft == 1; },
    Millis(500)));
}

} // namespace caraway
