// An instance that is told to stop: unready at once, nothing cut, nothing
// read and dropped, nothing begun that its end would cut.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" } };

const std::vector<HttpField> kLong = { { wire::kModel, "m0" },
                                       { wire::kTokens, "1,1" },
                                       { wire::kDeadline, "25000" } };

const std::vector<HttpField> kLongPlain = { { wire::kDeadline, "25000" } };

EntryFleetOptions
TwoInstances()
{
  EntryFleetOptions plan;
  plan.mInstances = 2;
  return plan;
}

// Routes wait as long as their callers do.
void
LetRequestsLast(EntryTestFleet& aWorld)
{
  for (Json::Value& route : aWorld.mConfig["routes"]) {
    route["timeoutMs"] = 25000;
  }
  aWorld.Configure();
}

// A stream of four seconds is under way at the first instance, which leaves.
TestCallPtr
LeaveDuringStream(EntryTestFleet& aWorld, const std::string& aBehind = "")
{
  LetRequestsLast(aWorld);
  aWorld.mEngines[0]->mEventGap = Millis(800);
  aWorld.AwaitReady();
  TestCallPtr call = aWorld.SendRaw(
    0, aWorld.RequestText("/stream/stream", "r1", kLong) + aBehind);
  EXPECT_TRUE(aWorld.Until([&] { return call->mStatus == 200; }, Seconds(2)));
  aWorld.mInstances[0]->Leave();
  return call;
}

// The answer to the second request on aCall's connection: 0 = none.
int
SecondStatus(const TestCall& aCall)
{
  HttpHead head;
  size_t used = 0;
  bool whole = ReadAnswerHead(aCall.mOver, head, used) == HeadState::Whole;
  return whole ? head.mStatus : 0;
}

constexpr char kInstancesKind[] = "caraway-instances";

// The instances don't run, everything else does.
void
PauseInstances(EntryTestFleet& aWorld, Millis aTime)
{
  TimePoint until = aWorld.mClock.Now() + aTime;
  while (aWorld.mClock.Now() < until) {
    aWorld.mReactor.RunPass(Millis(10));
  }
}

bool
AwaitExit(EntryTestFleet& aWorld)
{
  return aWorld.Until([&] { return aWorld.mInstances[0]->Gone(); }, Seconds(9));
}

} // namespace

TEST(LeavingEntry, StreamUnderWayEndsWhole)
{
  EntryTestFleet world;
  world.mEngines[0]->mEventGap = Millis(500);
  world.AwaitReady();
  TestCallPtr call = world.Send(0, "/stream/stream", "r1", kModel);
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
  EntryTestFleet world;
  world.AwaitReady();
  world.mInstances[0]->Leave();
  for (int i = 0; i < 4; ++i) {
    TestCallPtr call = world.Call(0, "/order/x", "r" + std::to_string(i));
    EXPECT_EQ(200, call->mStatus);
    EXPECT_EQ("close", call->Field("Connection"));
    world.For(Millis(400));
  }
}

// A request waits for a model that doesn't come while its instance is told to
// stop. Held to the end it would be cut; another instance can still serve it.
TEST(LeavingEntry, WaitingRequestIsSentAway)
{
  EntryTestFleet world;
  world.mEngines[0]->mLoadTime = Seconds(60);
  world.mConfig["routes"][3]["timeoutMs"] = 25000;
  world.mConfig["routes"][3]["targetLatencyMs"] = 3000;
  world.Configure();
  world.AwaitReady();
  world.For(Seconds(1));
  TestCallPtr call = world.Send(0,
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

// Guards against a request behind a stream that is begun late in the leave and
// cut by its end.
TEST(LeavingEntry, RequestBehindAStreamIsntBegunForTheEndToCut)
{
  EntryTestFleet world(TwoInstances());
  for (auto& server : world.mPlain) {
    server->mWork = Seconds(5);
  }
  std::string behind = world.RequestText("/order/x", "r2", kLongPlain);
  TestCallPtr call = LeaveDuringStream(world, behind);
  ASSERT_TRUE(world.Until([&] { return call->mWhole; }, Seconds(6)));
  EXPECT_TRUE(AwaitExit(world));
  EXPECT_EQ(503, SecondStatus(*call));
  EXPECT_EQ(0, world.RunsOf("r2"));
}

// Guards against a request that was sent as the stream before it ended, and was
// read and dropped.
TEST(LeavingEntry, RequestSentAsAStreamEndsIsAnswered)
{
  EntryTestFleet world(TwoInstances());
  TestCallPtr call = LeaveDuringStream(world);
  ASSERT_TRUE(world.Until([&] { return call->mWhole; }, Seconds(6)));
  call->mChannel->Write(world.RequestText("/order/x", "r2", kLongPlain));
  EXPECT_TRUE(AwaitExit(world));
  EXPECT_EQ(503, SecondStatus(*call));
  EXPECT_EQ(0, world.RunsOf("r2"));
}

// Guards against a refusal for the tenant's rate by an instance that has given
// the tenant's tokens away itself.
TEST(LeavingEntry, RefusalOfALastInstanceIsntAboutTheRate)
{
  EntryTestFleet world;
  std::string behind = world.RequestText("/order/x", "r2", kLongPlain);
  TestCallPtr call = LeaveDuringStream(world, behind);
  EXPECT_TRUE(AwaitExit(world));
  EXPECT_EQ(503, SecondStatus(*call));
}

// Guards against a request whose body comes slowly, so that it is whole, and
// begun, long after the instance should begin nothing.
TEST(LeavingEntry, RequestThatIsWholeTooLateIsRefused)
{
  EntryTestFleet world(TwoInstances());
  for (auto& server : world.mPlain) {
    server->mWork = Seconds(6);
  }
  LetRequestsLast(world);
  world.AwaitReady();
  std::string text = world.RequestText("/order/x", "r1", kLongPlain);
  TestCallPtr call = world.SendRaw(0, text.substr(0, text.size() - 1));
  world.For(Millis(200));
  world.mInstances[0]->Leave();
  world.For(Millis(4000));
  call->mChannel->Write(text.substr(text.size() - 1));
  EXPECT_TRUE(AwaitExit(world));
  EXPECT_EQ(503, call->mStatus);
  EXPECT_EQ(0, world.RunsOf("r1"));
}

// Guards against a repeat that is sent so late that only the end can follow.
TEST(LeavingEntry, RetryPastTheLimitIsNotSent)
{
  EntryTestFleet world(TwoInstances());
  for (auto& server : world.mPlain) {
    server->mWork = Seconds(4);
    server->mBehaviour = ServerBehaviour::RunsThenCloses;
  }
  LetRequestsLast(world);
  world.AwaitReady();
  TestCallPtr call = world.Send(0, "/safe/x", "r1", kLongPlain);
  world.For(Millis(200));
  world.mInstances[0]->Leave();
  EXPECT_TRUE(AwaitExit(world));
  EXPECT_EQ(502, call->mStatus);
  EXPECT_TRUE(call->mWhole);
  EXPECT_EQ(1, world.RunsOf("r1"));
}

// Guards against a caller whose request is still at a server when the instance
// ends, and who gets a closed connection for an answer.
TEST(LeavingEntry, WhatIsStillAtAServerAtTheEndIsAnswered)
{
  EntryTestFleet world;
  for (auto& server : world.mPlain) {
    server->mWork = Seconds(20);
  }
  LetRequestsLast(world);
  world.AwaitReady();
  TestCallPtr call = world.Send(0, "/order/x", "r1", kLongPlain);
  world.For(Millis(200));
  world.mInstances[0]->Leave();
  EXPECT_TRUE(AwaitExit(world));
  world.Until([&] { return call->mWhole; }, Millis(300));
  EXPECT_EQ(502, call->mStatus);
  EXPECT_TRUE(call->mWhole);
}

// Guards against a connection that waits in the listening socket when that is
// closed, and is reset with its request.
TEST(LeavingEntry, LastOneToConnectIsAnswered)
{
  EntryTestFleet world(TwoInstances());
  world.AwaitReady();
  world.mInstances[0]->Leave();
  world.For(Millis(2440));
  // The caller connects and sends while the instance doesn't run.
  TestCallPtr call = world.Send(0, "/order/x", "r1");
  TimePoint until = world.mClock.Now() + Millis(200);
  while (world.mClock.Now() < until) {
    world.mReactor.RunPass(Millis(10));
  }
  world.Until([&] { return call->mWhole || call->mClosed; }, Seconds(2));
  EXPECT_TRUE(call->mWhole);
}

// Guards against an end that nobody can explain: it names the connection's
// requests and the one under way.
TEST(LeavingEntry, EndOfABusyConnectionIsLogged)
{
  EntryTestFleet world;
  world.mEngines[0]->mEventGap = Seconds(3);
  LetRequestsLast(world);
  world.AwaitReady();
  TestCallPtr call = world.Send(0, "/stream/stream", "r1", kLong);
  ASSERT_TRUE(world.Until([&] { return call->mStatus == 200; }, Seconds(2)));
  world.mInstances[0]->Leave();
  EXPECT_TRUE(AwaitExit(world));
  EXPECT_EQ(1,
            world.LogLines(0,
                           "\"event\":\"connection_ended\",\"why\":"
                           "\"instance_ends\",\"id\":\"r1\""));
}

// Guards against a process that ends with its goodbyes unsent when no caller
// is connected: its mates leave its part of the tenants' tokens unused.
TEST(LeavingEntry, GoodbyesAreSentThoughNobodyIsConnected)
{
  EntryTestFleet world(TwoInstances());
  world.mConfig["tenants"][0]["ratePerS"] = 20;
  world.mConfig["tenants"][0]["burst"] = 40;
  world.Configure();
  world.AwaitReady();
  world.mInstances[0]->Leave();
  EXPECT_TRUE(AwaitExit(world));
  world.For(Millis(200));
  EXPECT_TRUE(world.mStore->Spec(kInstancesKind, "i0").isNull());
  const std::string two = "\"members\":2";
  int before = world.LogLines(1, two);
  for (int i = 0; i < 20; ++i) {
    world.Send(1, "/order/x", "r" + std::to_string(i));
  }
  world.For(Millis(300));
  EXPECT_LT(0, world.LogLines(1, "\"event\":\"tokens_refused\""));
  EXPECT_EQ(before, world.LogLines(1, two));
}

// Guards against a request that an instance reads late, because it stood still,
// and begins as if it had come in time.
TEST(LeavingEntry, RequestReadLateAfterAStandstillIsRefused)
{
  EntryTestFleet world(TwoInstances());
  for (auto& server : world.mPlain) {
    server->mWork = Seconds(5);
  }
  LetRequestsLast(world);
  world.AwaitReady();
  TestCallPtr kept = world.SendRaw(0, "");
  world.For(Millis(100));
  world.mInstances[0]->Leave();
  world.For(Millis(2000));
  kept->mChannel->Write(world.RequestText("/order/x", "r1", kLongPlain));
  TestCallPtr late = world.Send(0, "/order/x", "r2", kLongPlain);
  PauseInstances(world, Millis(2700));
  EXPECT_TRUE(AwaitExit(world));
  for (const TestCallPtr& call : { kept, late }) {
    EXPECT_EQ(503, call->mStatus);
    EXPECT_TRUE(call->mWhole);
  }
  EXPECT_EQ(0, world.RunsOf("r1") + world.RunsOf("r2"));
}

// Guards against an instance that stood still over its end and leaves without
// the last answers.
TEST(LeavingEntry, StandstillOverTheEndStillGivesLastAnswers)
{
  EntryTestFleet world;
  for (auto& server : world.mPlain) {
    server->mWork = Seconds(20);
  }
  LetRequestsLast(world);
  world.AwaitReady();
  TestCallPtr call = world.Send(0, "/order/x", "r1", kLongPlain);
  world.For(Millis(200));
  world.mInstances[0]->Leave();
  world.For(Millis(7300));
  PauseInstances(world, Millis(450));
  EXPECT_TRUE(AwaitExit(world));
  world.Until([&] { return call->mWhole; }, Millis(300));
  EXPECT_EQ(502, call->mStatus);
  EXPECT_TRUE(call->mWhole);
}

// Guards against a SIGTERM during the start that leaves callers unanswered.
TEST(LeavingEntry, ToldToStopAsItStartsItAnswersAndGoes)
{
  EntryTestFleet world;
  world.mInstances[0]->Leave();
  TestCallPtr call = world.Call(0, "/order/x", "r1");
  EXPECT_TRUE(call->mWhole);
  EXPECT_TRUE(AwaitExit(world));
}

// Guards against a caller who is still sending when the instance ends, and gets
// a closed connection for an answer: it can't tell that nothing ran.
TEST(LeavingEntry, RequestThatIsntWholeAtTheEndIsRefused)
{
  EntryTestFleet world(TwoInstances());
  world.mConfig["limits"]["idleTimeoutMs"] = 20000;
  world.Configure();
  world.AwaitReady();
  std::string text = world.RequestText("/order/x", "r1", kLongPlain);
  TestCallPtr call = world.SendRaw(0, text.substr(0, text.size() - 1));
  world.For(Millis(200));
  world.mInstances[0]->Leave();
  EXPECT_TRUE(AwaitExit(world));
  world.Until([&] { return call->mWhole; }, Millis(300));
  EXPECT_EQ(503, call->mStatus);
  EXPECT_TRUE(call->mWhole);
}

// Guards against a request that waits for its tenant's tokens as the instance
// gives them away, and is refused for the tenant's rate.
TEST(LeavingEntry, WaitingForTokensThatAreGivenAwayIsntAboutTheRate)
{
  EntryTestFleet world;
  world.mConfig["tenants"][0]["ratePerS"] = 20;
  world.mConfig["tenants"][0]["burst"] = 40;
  for (Json::Value& route : world.mConfig["routes"]) {
    route["targetLatencyMs"] = 8000; // an eighth of it waits for tokens
  }
  LetRequestsLast(world);
  world.AwaitReady();
  world.For(Seconds(3)); // the bucket fills
  world.mInstances[0]->Leave();
  world.For(Millis(2250));
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < 5; ++i) {
    calls.push_back(
      world.Send(0, "/order/x", "r" + std::to_string(i), kLongPlain));
  }
  EXPECT_TRUE(AwaitExit(world));
  int refused = 0;
  for (const TestCallPtr& call : calls) {
    EXPECT_TRUE(call->mStatus == 200 || call->mStatus == 503) << call->mStatus;
    refused += call->mStatus == 200 ? 0 : 1;
  }
  EXPECT_LT(0, refused);
}

// Guards against requests that wait for a busy server at a leave and are sent
// away though a place comes free in time.
TEST(LeavingEntry, WaitingRequestThatFitsIsServed)
{
  EntryFleetOptions plan = TwoInstances();
  plan.mPlain = 1;
  EntryTestFleet world(plan);
  world.mConfig["services"][0]["maxConns"] = 1;
  world.mConfig["routes"][1]["timeoutMs"] = 5000;
  world.Configure();
  world.mPlain[0]->mWork = Millis(100);
  world.AwaitReady();
  world.mInstances[0]->Leave();
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < 12; ++i) {
    calls.push_back(world.Send(
      0, "/order/x", "r" + std::to_string(i), { { wire::kDeadline, "5000" } }));
  }
  EXPECT_TRUE(AwaitExit(world));
  for (const TestCallPtr& call : calls) {
    EXPECT_EQ(200, call->mStatus);
  }
}

// Guards against an instance that is killed with its last answers unsent,
// because the granted time was shortened while it left.
TEST(LeavingEntry, GraceThatIsShortenedHoldsForTheLeaveUnderWay)
{
  EntryTestFleet world;
  for (auto& server : world.mPlain) {
    server->mWork = Seconds(20);
  }
  LetRequestsLast(world);
  world.AwaitReady();
  TestCallPtr call = world.Send(0, "/order/x", "r1", kLongPlain);
  world.For(Millis(200));
  world.mInstances[0]->Leave();
  world.For(Seconds(1));
  world.mInstances[0]->State().mSettings.mGrace = Seconds(4);
  EXPECT_TRUE(world.Until([&] { return call->mWhole; }, Millis(2900)));
  EXPECT_EQ(502, call->mStatus);
}

} // namespace caraway
