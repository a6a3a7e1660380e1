// How the verdict on a part of prompts outlives instances, how it ends, and
// that crashes of another cause lead to none.

#include "platform/WireNames.h"
#include "support/CrashingPartsFleet.h"

namespace caraway {

namespace {

using CrashVerdicts = CrashingPartsFleet;

// Crashes that the rule allows in all, when requests come one by one.
constexpr size_t kMostCrashes = 8;

// From the last crash until a probe, and time for it to show.
constexpr Millis kProbeTime{ 16000 };

} // namespace

// Guards against a verdict that is lost with the memory of all instances.
TEST_F(CrashVerdicts, OutlivesAKillOfAllInstances)
{
  CrashUntilBlocked("/stream/stream");
  mFleet.RunFor(Millis(1500));
  size_t before = Crashes().size();
  KillAllInstances();
  SendMixed("/stream/stream", 10, Millis(300));
  EXPECT_EQ(before, Crashes().size());
}

// Guards against crashes that are counted from nothing after a kill of all
// instances.
TEST_F(CrashVerdicts, CrashesBeforeAKillOfAllInstancesCount)
{
  for (int i = 0; i < 3; ++i) {
    SendGuilty("/stream/stream");
    mFleet.RunFor(Millis(1500));
  }
  KillAllInstances();
  SendMixed("/stream/stream", 20, Millis(1000));
  EXPECT_LE(Crashes().size(), kMostCrashes);
}

// Guards against crashes by way of an instance that has just started, and can't
// read the store.
TEST_F(CrashVerdicts, NewProcessLearnsFromPeers)
{
  CrashUntilBlocked("/stream/stream");
  mFleet.mStore->SetFaultMode(0, StandInStore::FaultMode::Silent);
  mFleet.mInstances[0].reset();
  mFleet.mInstances[0] = mFleet.MakeInstance(0);
  mFleet.RunFor(Seconds(2));
  EXPECT_EQ(1u, mFleet.mInstances[0]->PartsBlocked());
}

// Guards against verdicts that the store has to agree to.
TEST_F(CrashVerdicts, StandsWhileTheStoreIsSilent)
{
  mFleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Silent);
  SendMixed("/stream/stream", 20, Millis(300));
  mFleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Serves);
  EXPECT_TRUE(AllBlock());
  EXPECT_LE(SentTooLate(), 3);
}

// Guards against a verdict that never ends once the servers are mended.
TEST_F(CrashVerdicts, EndsWithAProbeThatIsServed)
{
  CrashUntilBlocked("/stream/stream");
  EndServersFault();
  mFleet.RunFor(kProbeTime);
  for (int i = 0; i < 4; ++i) {
    SendGuilty("/stream/stream");
    mFleet.RunFor(Millis(500));
  }
  EXPECT_EQ(0u, mFleet.mInstances[3]->PartsBlocked());
  mGuilty.clear();
  for (size_t i = 0; i < mFleet.Instances(); ++i) {
    SendGuilty("/stream/stream");
  }
  mFleet.RunFor(Seconds(1));
  EXPECT_EQ(mGuilty.size(), Served(mGuilty));
}

// Guards against probes by each instance, every few seconds: one of all is let
// through, and crashes one server.
TEST_F(CrashVerdicts, ProbesAreFew)
{
  CrashUntilBlocked("/resume/stream");
  size_t before = Crashes().size();
  for (int i = 0; i < 60; ++i) {
    SendGuilty("/resume/stream");
    mFleet.RunFor(Millis(700));
  }
  EXPECT_EQ(before + 1, Crashes().size());
}

// Guards against a verdict that operators can't see or end.
TEST_F(CrashVerdicts, OperatorSeesAndLiftsIt)
{
  CrashUntilBlocked("/stream/stream");
  Json::Value parts = Operate(2, "parts", Json::Value(Json::objectValue));
  ASSERT_TRUE(parts.isMember("bad0"));
  EXPECT_TRUE(parts["bad0"]["blocked"].asBool());
  EXPECT_GE(parts["bad0"]["ages"].size(), 4u);
  EndServersFault();
  Json::Value params;
  params["part"] = "bad0";
  EXPECT_TRUE(Operate(5, "lift_part", params)["lifted"].asBool());
  mFleet.RunFor(Seconds(1));
  for (auto& instance : mFleet.mInstances) {
    EXPECT_EQ(0u, instance->PartsBlocked());
  }
  TestCallPtr call = SendGuilty("/stream/stream");
  mFleet.RunFor(Seconds(1));
  EXPECT_EQ(200, call->mStatus);
  mFleet.RunFor(Seconds(1));
  KillAllInstances(); // nor does the store bring it back
  mFleet.RunFor(Seconds(1));
  EXPECT_EQ(0u, mFleet.mInstances[0]->PartsBlocked());
}

// Guards against parts that are blocked because servers end for a reason of
// their own, one after the other.
TEST_F(CrashVerdicts, ServersThatEndOneByOneBlockNothing)
{
  EndServersFault();
  for (int i = 0; i < 60; ++i) {
    for (int j = 0; j < 4; ++j) {
      SendSound("/resume/stream");
      ++mNumber;
      mFleet.RunFor(Millis(50));
    }
    mFleet.mEngines[static_cast<size_t>(i) % 10]->Crash();
  }
  EXPECT_EQ(0, LogLinesOfAll("part_blocked")) << Story();
  EXPECT_GT(LogLinesOfAll("server_crashed"), 0);
}

// Guards against parts that are blocked because half of the servers end at
// once, again and again.
TEST_F(CrashVerdicts, HalfOfTheServersAtOnceBlockNothing)
{
  EndServersFault();
  for (int i = 0; i < 15; ++i) {
    for (int j = 0; j < 8; ++j) {
      SendSound("/resume/stream");
      ++mNumber;
      mFleet.RunFor(Millis(100));
    }
    for (size_t at = i % 2; at < mFleet.mEngines.size(); at += 2) {
      mFleet.mEngines[at]->Crash();
    }
  }
  EXPECT_EQ(0, LogLinesOfAll("part_blocked")) << Story();
}

// Guards against streams that one server breaks off, though it goes on, taken
// for crashes.
TEST_F(CrashVerdicts, BrokenStreamsOfAServerThatGoesOnBlockNothing)
{
  EndServersFault();
  for (auto& engine : mFleet.mEngines) {
    engine->mBehaviour = ServerBehaviour::StopsMidway;
    engine->mEvents = 40; // others go on meanwhile
  }
  for (int i = 0; i < 100; ++i) {
    if (i % 5 == 0) {
      mFleet.Send(static_cast<size_t>(i) % 8,
                  "/stream/stream",
                  "x" + std::to_string(i),
                  PromptFields("rare:60,f" + std::to_string(i) + ":1"));
    }
    mFleet.mEngines[static_cast<size_t>(i) % 10]->mBehaviour =
      i % 2 ? ServerBehaviour::Proper : ServerBehaviour::StopsMidway;
    SendSound("/stream/stream");
    ++mNumber;
    mFleet.RunFor(Millis(100));
  }
  EXPECT_EQ(0, LogLinesOfAll("part_blocked")) << Story();
}

} // namespace caraway
