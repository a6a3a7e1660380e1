#include "support/OneEntryProcess.h"

#include <fstream>

namespace caraway {

namespace {

EntryFleetOptions
WithoutInstances(EntryFleetOptions aOptions)
{
  aOptions.mOwn = false;
  return aOptions;
}

} // namespace

OneEntryProcess::OneEntryProcess(
  EntryFleetOptions aOptions,
  const std::function<void(Json::Value&)>& aConfigure,
  const std::function<void(EntryTestFleet&)>& aPrepare)
  : mFleet(WithoutInstances(std::move(aOptions)))
  , mProcess(CARAWAY_BIN_DIR "/carawayd-entry",
             mFolder.File("i0.toml"),
             mFolder.File("i0.log"))
{
  if (aConfigure) {
    aConfigure(mFleet.mConfig);
    mFleet.Configure();
  }
  if (aPrepare) {
    aPrepare(mFleet);
  }
  std::ofstream(mFolder.File("i0.toml")) << mFleet.SettingsText(0);
  mProcess.Start();
  for (int i = 0; i < 100; ++i) {
    mFleet.RunFor(Millis(100));
    if (mFleet.Call(0, "/safe/x", "w" + std::to_string(i))->mStatus == 200) {
      break;
    }
  }
  mFleet.RunFor(Seconds(1)); // token buckets fill
}

} // namespace caraway
