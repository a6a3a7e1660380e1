// A lease holder that falls behind: its event loop stands still for a moment,
// while callers at another instance wait for models that no server holds.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

constexpr int kModels = 6;

// Shorter than the lease.
constexpr Millis kStandstill{ 2000 };

// With each timeout the next call waits longer: 400, 800 and 1,600 ms.
constexpr int kMaxCalls = 3;

} // namespace

// Guards against a lease holder that is kept behind by calls for each missing
// model, from each instance, every 400 ms whether the last one was answered or
// not.
TEST(BusyHolder, GetsOneCallAtATimeFromAnInstance)
{
  EntryFleetOptions options;
  options.mInstances = 2;
  options.mStep = Millis(5);
  EntryTestFleet fleet(options);
  fleet.List(*fleet.mEngines[0], "engine", "a");
  fleet.AwaitReady();
  fleet.RunFor(Millis(1000)); // until one instance holds the lease
  size_t holder = fleet.mInstances[0]->HoldsLease() ? 0 : 1;
  size_t other = 1 - holder;
  fleet.mFrozen.insert(holder);
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < kModels; ++i) {
    std::string model = "m" + std::to_string(i);
    calls.push_back(
      fleet.Send(other, "/resume/stream", model, { { wire::kModel, model } }));
  }
  fleet.RunFor(kStandstill);
  EXPECT_LE(fleet.LogLines(other, "\"method\":\"want\""), kMaxCalls);
  fleet.mFrozen.clear();
  auto loaded = [&] { return !fleet.mEngines[0]->mModels.empty(); };
  EXPECT_TRUE(fleet.RunUntil(loaded, Seconds(3)));
}

} // namespace caraway
