// A faulty service sends bytes without end in many answers at once. An instance
// that kept them all would run out of memory, and end with the requests of
// sound callers.

#include <gtest/gtest.h>

#include <fstream>

#include "platform/WireNames.h"
#include "support/EntryProcess.h"
#include "support/EntryTestFleet.h"
#include "support/ScratchFolder.h"

namespace caraway {

namespace {

constexpr size_t kMostMemory = 120u << 20; // of the smallest instances
constexpr int kEndlessCalls = 100;
constexpr Millis kSoundInterval{ 100 };

EntryFleetOptions
OneProcess()
{
  EntryFleetOptions options;
  options.mOwn = false;
  return options;
}

class EndlessMemory : public testing::TestWithParam<ServerBehaviour>
{
protected:
  EndlessMemory()
    : mFleet(OneProcess())
    , mProcess(CARAWAY_BIN_DIR "/carawayd-entry",
               mFolder.File("i0.toml"),
               mFolder.File("i0.log"))
  {
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
  TestCallPtr SendSound(int aNumber)
  {
    return mFleet.Send(0,
                       "/stream/stream",
                       "s" + std::to_string(aNumber),
                       { { wire::kModel, "m0" }, { wire::kTokens, "10,5" } });
  }

  ScratchFolder mFolder;
  EntryTestFleet mFleet;
  EntryProcess mProcess;
};

} // namespace

// Guards against an instance that bounds each answer but not all together.
TEST_P(EndlessMemory, SoundCallersAreServedBesideManyEndlessAnswers)
{
  for (auto& server : mFleet.mPlain) {
    server->mBehaviour = GetParam();
  }
  std::vector<TestCallPtr> endless;
  for (int i = 0; i < kEndlessCalls; ++i) {
    endless.push_back(mFleet.Send(0, "/order/x", "e" + std::to_string(i)));
  }
  std::vector<TestCallPtr> sound;
  for (int i = 0; i < 20; ++i) {
    sound.push_back(SendSound(i));
    mFleet.RunFor(kSoundInterval);
  }
  mFleet.RunFor(Seconds(2));
  EXPECT_TRUE(mProcess.Running());
  EXPECT_LT(mProcess.PeakMemory(), kMostMemory);
  for (const TestCallPtr& call : endless) {
    EXPECT_TRUE(call->mStatus == 502 || call->mStatus == 504) << call->mStatus;
  }
  for (const TestCallPtr& call : sound) {
    EXPECT_EQ(200, call->mStatus);
    EXPECT_TRUE(call->mComplete);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         EndlessMemory,
                         testing::Values(ServerBehaviour::EndlessBody,
                                         ServerBehaviour::EndlessHead));

} // namespace caraway
