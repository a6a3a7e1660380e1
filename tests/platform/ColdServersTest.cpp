// Servers that are cold, and fail above a rate of requests.

#include <gtest/gtest.h>

#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

constexpr double kPerSecond = 8.2;
constexpr size_t kPermits = 8;

EntryFleetOptions
FiveInstances()
{
  EntryFleetOptions options;
  options.mInstances = 5;
  options.mPlain = 1;
  options.mStep = Millis(5);
  return options;
}

} // namespace

// Guards against instances that bring a cold server down together, against ones
// that leave its permits unused, and against a limit that stays when the server
// is warm. The caller of a request that can't be served in time learns that,
// with a time to come back.
TEST(ColdServers, AllInstancesTogetherStayBelowTheRate)
{
  EntryTestFleet fleet(FiveInstances());
  fleet.mConfig["services"][0]["coldPerS"] = kPerSecond;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.RunFor(Seconds(3)); // until all have read a list with all
  StandInServer& server = *fleet.mPlain[0];
  server.mColdPerSecond = kPerSecond * 1.5 + 5;
  server.mColdLeft = Seconds(2);
  fleet.List(server, "plain", "a");
  fleet.RunFor(Millis(500));
  std::vector<TestCallPtr> calls;
  auto sendFor = [&](Millis aTime) {
    for (Millis at{ 0 }; at < aTime; at += Millis(15)) {
      for (size_t i = 0; i < 5; ++i) {
        std::string id = "r" + std::to_string(calls.size());
        calls.push_back(fleet.Send(i, "/safe/", id));
      }
      fleet.RunFor(Millis(15));
    }
  };
  sendFor(Seconds(2));
  EXPECT_GE(server.mRuns.size(), kPermits);
  fleet.RunFor(Seconds(4));
  EXPECT_EQ(0, server.mColdCrashes);
  for (const TestCallPtr& call : calls) {
    bool refused = call->mStatus == 503 && !call->Field("Retry-After").empty();
    EXPECT_TRUE(call->mStatus == 200 || refused) << call->mStatus;
  }
  server.mColdPerSecond = 0;
  server.mColdLeft = Millis(0);
  fleet.RunFor(Seconds(3));
  size_t before = server.mRuns.size();
  sendFor(Millis(300));
  fleet.RunFor(Millis(100));
  EXPECT_EQ(before + 100, server.mRuns.size());
}

} // namespace caraway
