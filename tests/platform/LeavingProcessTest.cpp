// Graceful shutdown of carawayd-entry as a process, with real signals.

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryProcess.h"
#include "support/EntryTestFleet.h"
#include "support/ScratchFolder.h"

namespace caraway {

namespace {

constexpr Millis kGrace{ 8000 }; // graceS of the fleet's settings

} // namespace

// Guards against a grace period that is counted from when a stopped process
// continues. The platform counts from SIGTERM, so that its kill would cut off
// the last answers.
TEST(LeavingProcess, SigtermWhileStoppedLeavesWithinTheGracePeriod)
{
  EntryFleetOptions options;
  options.mOwn = false;
  EntryTestFleet fleet(options);
  fleet.mConfig["routes"][1]["timeoutMs"] = 25000;
  fleet.Configure();
  for (auto& server : fleet.mPlain) {
    server->mWork = Seconds(20);
  }
  ScratchFolder folder;
  std::ofstream(folder.File("i0.toml")) << fleet.SettingsText(0);
  EntryProcess process(CARAWAY_BIN_DIR "/carawayd-entry",
                       folder.File("i0.toml"),
                       folder.File("i0.log"));
  process.Start();
  TestCallPtr call;
  ASSERT_TRUE(fleet.RunUntil(
    [&] {
      if (!call || call->mClosed || call->mComplete) {
        fleet.RunFor(Millis(100));
        call =
          fleet.Send(0, "/order/x", "r1", { { wire::kDeadline, "25000" } });
      }
      return fleet.RunsOf("r1") == 1;
    },
    Seconds(10)));
  process.Signal(SIGSTOP);
  fleet.RunFor(Millis(500));
  process.Signal(SIGTERM);
  TimePoint signalled = fleet.mClock.Now();
  fleet.RunFor(Seconds(3));
  process.Signal(SIGCONT);
  auto left =
    std::chrono::duration_cast<Millis>(signalled + kGrace - fleet.mClock.Now());
  EXPECT_TRUE(fleet.RunUntil([&] { return !process.Running(); }, left));
  EXPECT_EQ(0, process.Code());
  EXPECT_TRUE(call->mComplete);
  EXPECT_EQ(502, call->mStatus);
}

} // namespace caraway
