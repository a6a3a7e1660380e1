// Servers that are cold, and fail above a rate of requests.

#include <gtest/gtest.h>

#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

constexpr double kPerSecond = 8.2;
constexpr double kBound = kPerSecond * 1.5 + 5;
constexpr int kPermits = 8;
constexpr Millis kStep{ 5 };

// One server and five instances in one zone.
class ColdServers : public testing::Test
{
protected:
  ColdServers() { Configure(); }

  static EntryFleetOptions Options()
  {
    EntryFleetOptions options;
    options.mInstances = 5;
    options.mPlain = 1;
    options.mStep = kStep;
    return options;
  }

  void Configure()
  {
    mFleet.mConfig["services"][0]["coldStartS"] = 3;
    mFleet.mConfig["services"][0]["coldPerS"] = kPerSecond;
    mFleet.Configure();
    mFleet.AwaitReady();
    // The first instance of a zone has no permits before that.
    mFleet.RunFor(Seconds(25));
    mServer.mColdPerSecond = kBound;
    mServer.mColdLeft = Seconds(2);
    mFleet.List(mServer, "plain", "a");
    mFleet.RunFor(Millis(500));
  }

  // Requests to all instances, 40 times more in a second than the server bears.
  void SendFor(Millis aTime)
  {
    for (Millis at{ 0 }; at < aTime; at += Millis(15)) {
      for (size_t i = 0; i < 5; ++i) {
        mCalls.push_back(
          mFleet.Send(i, "/safe/", "r" + std::to_string(mCalls.size())));
      }
      mFleet.RunFor(Millis(15));
    }
  }

  EntryTestFleet mFleet{ Options() };
  StandInServer& mServer = *mFleet.mPlain[0];
  std::vector<TestCallPtr> mCalls;
};

} // namespace

// Guards against instances that bring a cold server down together, and against
// ones that leave its permits unused. The caller of a request that can't be
// served in time learns that at once, with a time to come back.
TEST_F(ColdServers, AllInstancesTogetherStayBelowTheRate)
{
  SendFor(Seconds(2));
  EXPECT_EQ(0, mServer.mColdCrashes);
  EXPECT_GE(static_cast<int>(mServer.mRuns.size()), kPermits);
  mFleet.RunFor(Seconds(4));
  int served = 0;
  int refused = 0;
  for (const TestCallPtr& call : mCalls) {
    served += call->mStatus == 200 ? 1 : 0;
    refused += call->mStatus == 503 || call->mStatus == 429 ? 1 : 0;
    EXPECT_TRUE(call->mStatus == 200 || !call->Field("Retry-After").empty());
  }
  EXPECT_EQ(mCalls.size(), static_cast<size_t>(served + refused));
}

// Guards against a limit that stays after the server has said that it is warm.
TEST_F(ColdServers, LimitEndsWithTheColdTime)
{
  SendFor(Millis(300));
  mServer.mColdPerSecond = 0;
  mServer.mColdLeft = Millis(0);
  mFleet.RunFor(Seconds(3));
  size_t before = mServer.mRuns.size();
  SendFor(Millis(300));
  mFleet.RunFor(Millis(100));
  EXPECT_EQ(before + 100, mServer.mRuns.size());
}

} // namespace caraway
