// A model whose callers can't wait for a load is loaded in their zone too.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// Two instances and one engine in each of two zones. Only the engine of zone a
// holds m1, whose load takes longer than the route's target.
struct UrgentZonesFleet : EntryTestFleet
{
  UrgentZonesFleet()
    : EntryTestFleet(Options())
  {
    for (Json::Value& model : mConfig["services"][1]["engine"]["models"]) {
      model["diskS"] = 0.4;
    }
    Configure();
    mEngines[0]->mModels["m1"];
    mEngines[1]->mOnDisk.insert("m1");
    List(*mEngines[0], "engine", "a");
    List(*mEngines[1], "engine", "b");
    AwaitReady();
    RunFor(Millis(1000)); // until the new configuration is in force
  }

  static EntryFleetOptions Options()
  {
    EntryFleetOptions options;
    options.mZones = { "a", "b" };
    options.mInstances = 2;
    options.mStep = Millis(5);
    return options;
  }

  // Each of zone b's instances gets a few requests for m1. Returns whether the
  // zone's engine holds it within three seconds.
  bool LoadedAfterRequests()
  {
    for (int i = 0; i < 8; ++i) {
      std::string id = "r" + std::to_string(++mRequestCount);
      TestCallPtr call =
        Call(2 + i % 2, "/resume/stream", id, { { wire::kModel, "m1" } });
      EXPECT_EQ(200, call->mStatus);
    }
    return RunUntil([this] { return mEngines[1]->mModels.count("m1") > 0; },
                    Seconds(3));
  }

  int mRequestCount = 0;
};

} // namespace

// Guards against a zone without a replica of what its urgent callers need, and
// against one that is loaded where no server reports its pace.
TEST(UrgentZones, ZoneLoadsWhatItsUrgentCallersGetElsewhere)
{
  UrgentZonesFleet fleet;
  EXPECT_FALSE(fleet.LoadedAfterRequests());
  for (const auto& instance : fleet.mInstances) {
    EntryState& state = instance->State();
    for (const auto& engine : fleet.mEngines) {
      state.mServers.OnLoadReport(engine->Id(), { 0, 0, 12, 1.0 }, state.Now());
    }
  }
  EXPECT_TRUE(fleet.LoadedAfterRequests());
}

} // namespace caraway
