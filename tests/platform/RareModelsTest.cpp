// Models that few callers request, in the weight store only. A load takes
// longer than callers wait, so they are refused and told when to return.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

constexpr Millis kLoadTime{ 4000 };

EntryFleetOptions
OneEngine()
{
  EntryFleetOptions options;
  options.mStep = Millis(5);
  return options;
}

class RareModels : public testing::Test
{
protected:
  RareModels()
    : mFleet(OneEngine())
    , mEngine(*mFleet.mEngines[0])
  {
    for (Json::Value& service : mFleet.mConfig["services"]) {
      for (Json::Value& model : service["engine"]["models"]) {
        model["loadS"] = static_cast<double>(kLoadTime.count()) / 1000;
      }
    }
    mFleet.Configure();
    mEngine.mLoadTime = kLoadTime;
    mFleet.List(mEngine, "engine", "a");
    mFleet.AwaitReady();
  }

  TestCallPtr Call(const std::string& aModel, const std::string& aId)
  {
    return mFleet.Call(
      0,
      "/stream/stream",
      aId,
      { { wire::kModel, aModel }, { wire::kTokens, "100,50" } });
  }
  // The status of the call that follows a refusal after the time that it told.
  int StatusAfterReturn(const TestCall& aRefused,
                        const std::string& aModel,
                        const std::string& aId)
  {
    double seconds = std::stod("0" + aRefused.Field(wire::kRetryAfter));
    mFleet.RunFor(Millis(static_cast<int64_t>(seconds * 1000)));
    return Call(aModel, aId)->mStatus;
  }

  EntryTestFleet mFleet;
  StandInServer& mEngine;
};

} // namespace

// Guards against a load that is dropped from the queue because its callers were
// refused: they return as told, and the model is never loaded.
TEST_F(RareModels, QueuedLoadGoesOnUntilCallersReturn)
{
  EXPECT_EQ(503, Call("m1", "first")->mStatus);
  TestCallPtr refused = Call("m2", "second");
  EXPECT_EQ(503, refused->mStatus);
  EXPECT_EQ(200, StatusAfterReturn(*refused, "m2", "again"));
}

} // namespace caraway
