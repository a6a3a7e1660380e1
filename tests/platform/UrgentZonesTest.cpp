#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

// Zone a's engine holds m1, which zone b's callers request. A load takes longer
// than their target. Guards against a zone without a replica of what its urgent
// callers need, and against one where no server reports its pace.
TEST(UrgentZones, ZoneLoadsWhatItsUrgentCallersGetElsewhere)
{
  EntryFleetOptions options;
  options.mZones = { "a", "b" };
  options.mInstances = 2;
  options.mStep = Millis(5);
  EntryTestFleet fleet(options);
  for (Json::Value& model : fleet.mConfig["services"][1]["engine"]["models"]) {
    model["diskS"] = 0.4;
  }
  fleet.Configure();
  fleet.mEngines[0]->mModels["m1"];
  fleet.mEngines[1]->mOnDisk.insert("m1");
  fleet.List(*fleet.mEngines[0], "engine", "a");
  fleet.List(*fleet.mEngines[1], "engine", "b");
  fleet.AwaitReady();
  fleet.RunFor(Millis(1000)); // until the new configuration is in force
  for (bool paced : { false, true }) {
    for (const auto& instance : fleet.mInstances) {
      ServerLoadReport report{ 0, 0, 12, {} };
      report.mPace = paced ? std::optional(1.0) : std::nullopt;
      instance->State().mServers.OnLoadReport("engine-a0", report, {});
    }
    for (size_t i = 0; i < 8; ++i) {
      std::string id = (paced ? "p" : "r") + std::to_string(i);
      fleet.Call(2 + i % 2, "/resume/stream", id, { { wire::kModel, "m1" } });
    }
    auto held = [&] { return fleet.mEngines[1]->mModels.count("m1") > 0; };
    EXPECT_EQ(paced, fleet.RunUntil(held, Seconds(3)));
  }
}

} // namespace caraway
