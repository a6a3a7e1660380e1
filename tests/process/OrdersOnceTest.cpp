// Instances as processes before plain servers that are often full, with faults
// of answers between them: a request that must not be repeated runs once at
// most, and hasn't run if its caller is told so.

#include <gtest/gtest.h>

#include "support/OrderLoad.h"
#include "support/ScratchFolder.h"

namespace caraway {

namespace {

OrderLoadPlan
FullServers(const ScratchFolder& aFolder)
{
  OrderLoadPlan plan;
  plan.mProgram = CARAWAY_BIN_DIR "/carawayd-entry";
  plan.mFolder = aFolder.File("orders");
  plan.mDuration = Seconds(5);
  plan.mClump = 30;
  plan.mFaults.mShare = 0.15;
  return plan;
}

void
ExpectOnce(const OrderLoadPlan& aPlan)
{
  OrderLoadResult result = OrderLoad(aPlan).Run();
  EXPECT_EQ(0u, result.mRefusedAndRun.size()) << result.Text();
  EXPECT_EQ(0u, result.mRunTwice.size()) << result.Text();
  EXPECT_EQ(0, result.mWrongAnswers) << result.Text();
  EXPECT_EQ(0, result.mUnexpectedExits);
  EXPECT_GT(result.mFaulty, 10) << result.Text();
  EXPECT_GT(result.mStatuses[200], 20) << result.Text();
  std::printf("%s\n", result.Text().c_str());
}

} // namespace

// Guards against believing a status that promises "not run" without a server's
// mark: something between may answer so after the server ran the request.
TEST(OrdersOnce, UnmarkedRefusalsAreNotBelieved)
{
  ScratchFolder folder;
  OrderLoadPlan plan = FullServers(folder);
  plan.mFaults.mKinds = { AnswerFault::Replaced, AnswerFault::Unmarked };
  ExpectOnce(plan);
}

// The same at an instance that hands its requests on to others.
TEST(OrdersOnce, UnmarkedRefusalsBehindAForwardAreNotBelieved)
{
  ScratchFolder folder;
  OrderLoadPlan plan = FullServers(folder);
  plan.mFaults.mKinds = { AnswerFault::Replaced, AnswerFault::WithoutId };
  plan.mCutOff = true;
  ExpectOnce(plan);
}

// Guards against a second refusal that is read as the answer to the next send.
TEST(OrdersOnce, SecondAnswersAreNotBelieved)
{
  ScratchFolder folder;
  OrderLoadPlan plan = FullServers(folder);
  plan.mSlots = 2;
  plan.mQueue = 1;
  plan.mFaults.mKinds = { AnswerFault::Doubled };
  plan.mFaults.mShare = 0.3;
  ExpectOnce(plan);
}

// Guards against "not run" for what was sent before an answer was lost, by
// instances that are stopped, or terminated, meanwhile.
TEST(OrdersOnce, LostAnswersAreNotTakenForRefusals)
{
  ScratchFolder folder;
  OrderLoadPlan plan = FullServers(folder);
  plan.mFaults.mKinds = { AnswerFault::Late,
                          AnswerFault::CutInHead,
                          AnswerFault::CutInBody,
                          AnswerFault::Reset };
  plan.mStops = true;
  plan.mTerminates = true;
  ExpectOnce(plan);
}

// Guards against a part of an answer, or the body behind a head that isn't an
// answer's, passed on as an answer.
TEST(OrdersOnce, BrokenAnswersAreNotPassedOn)
{
  ScratchFolder folder;
  OrderLoadPlan plan = FullServers(folder);
  plan.mFaults.mKinds = { AnswerFault::ResetUnderUpload,
                          AnswerFault::BrokenHead };
  plan.mFaults.mShare = 0.4;
  plan.mClump = 2;
  plan.mPerSecond = 12;
  plan.mDuration = Seconds(8);
  plan.mBodyBytes = 4'000'000; // more than the systems on the way hold
  ExpectOnce(plan);
}

// Guards against a check of bodies that doesn't see a part of one.
TEST(OrdersOnce, CheckSeesAShortenedAnswer)
{
  ScratchFolder folder;
  OrderLoadPlan plan = FullServers(folder);
  plan.mFaults.mKinds = { AnswerFault::Shortened };
  EXPECT_GT(OrderLoad(plan).Run().mWrongAnswers, 0);
}

} // namespace caraway
