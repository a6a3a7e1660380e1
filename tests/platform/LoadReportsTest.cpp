// Servers' load reports, from their answers to all instances.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" } };

} // namespace

// Guards against a report that stays with the instance that received it, and
// against prompts that count as unread after their first event.
TEST(LoadReports, ReportsReachAllInstances)
{
  EntryFleetOptions options;
  options.mInstances = 2;
  EntryTestFleet fleet(options);
  fleet.AwaitReady();
  for (auto& engine : fleet.mEngines) {
    engine->mLoadFigures = "32,0,32,100";
  }
  EXPECT_EQ(200, fleet.Call(0, "/stream/stream", "a", kModel)->mStatus);
  ServerView& first = fleet.mInstances[0]->State().mServers;
  ServerView& second = fleet.mInstances[1]->State().mServers;
  const Backend* full = nullptr;
  for (const auto& [id, backend] : first.All()) {
    EXPECT_EQ(0, backend.mUnreadTokens);
    full = backend.mLoadReport ? &backend : full;
  }
  ASSERT_TRUE(full);
  fleet.RunFor(Millis(400));
  const std::string& id = full->mEntry.mId;
  EXPECT_TRUE(second.ReportsPace(full->mEntry.mService));
  ASSERT_TRUE(second.Find(id)->mLoadReport);
  EXPECT_EQ(32, second.Find(id)->mLoadReport->mRunning);
}

} // namespace caraway
