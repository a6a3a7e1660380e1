// Requests that are denied, or run, by a configuration that may be older than
// the limit for applying a change: after a start, after a standstill, while
// nothing confirms it, and as requests wait.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// Specified limit: from the store's answer to a change until it is in force.
constexpr Millis kApplyLimit{ 2000 };

// A standstill of the event loop that is longer than the limit.
constexpr Millis kStandstill{ 2500 };

// Time in which an instance has asked for its configuration, or given up.
constexpr Millis kSettled{ 1500 };

constexpr Millis kSlowPass{ 600 };
constexpr int kSlowPasses = 8;

constexpr char kNewPath[] = "/added/x";

const std::vector<HttpField> kGlobex = { { wire::kAuthorization,
                                           "Bearer key-globex" } };
const std::vector<HttpField> kUnknownKey = { { wire::kAuthorization,
                                               "Bearer key-of-nobody" } };

void
AddRoute(EntryTestFleet& aFleet)
{
  Json::Value route = aFleet.mConfig["routes"][0];
  route["name"] = "added";
  route["pathPrefix"] = "/added/";
  aFleet.mConfig["routes"].append(route);
  aFleet.Configure();
}

void
WithdrawKeyOfGlobex(EntryTestFleet& aFleet)
{
  aFleet.mConfig["tenants"][1]["apiKeys"] = Json::Value(Json::arrayValue);
  aFleet.Configure();
}

// The instance's event loop stands still while aChange is made, and its watch
// of the configuration brings nothing afterwards.
TestCallPtr
CallDuringStandstill(EntryTestFleet& aFleet,
                     const std::function<void()>& aChange,
                     const std::string& aPath,
                     const std::vector<HttpField>& aFields)
{
  aFleet.AwaitReady();
  aFleet.mStore->MuteWatchesOf(0, wire::kConfigKind);
  aFleet.mFrozen.insert(0);
  aChange();
  aFleet.RunFor(kStandstill);
  auto call = aFleet.Send(0, aPath, "r1", aFields);
  aFleet.RunFor(Millis(100));
  aFleet.mFrozen.erase(0);
  aFleet.RunFor(kSettled);
  return call;
}

} // namespace

// Guards against a 404 by an instance that has just started and got an older
// configuration from another one; requests that it allows are served.
TEST(OldConfiguration, StartingInstanceDoesNotDenyByAPeersCopy)
{
  EntryFleetOptions options;
  options.mInstances = 2;
  EntryTestFleet fleet(options);
  // Nobody shares the tenants' tokens with an instance without the store.
  fleet.mConfig["routes"][0]["anonymous"] = true;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.mInstances[0].reset();
  fleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Silent);
  AddRoute(fleet);
  fleet.RunFor(kApplyLimit);
  fleet.mInstances[0] = fleet.MakeInstance(0);
  ASSERT_TRUE(
    fleet.RunUntil([&] { return fleet.mInstances[0]->Ready(); }, Seconds(4)));
  TestCallPtr added = fleet.Call(0, kNewPath, "r1");
  EXPECT_EQ(503, added->mStatus);
  EXPECT_NE("", added->Field(wire::kRetryAfter));
  EXPECT_EQ(200, fleet.Call(0, "/safe/x", "r2")->mStatus);
}

// Guards against a 404 by what an instance knew before its event loop stood
// still.
TEST(OldConfiguration, NothingIsDeniedByWhatWasKnownBeforeAStandstill)
{
  EntryTestFleet fleet;
  TestCallPtr call =
    CallDuringStandstill(fleet, [&] { AddRoute(fleet); }, kNewPath, {});
  EXPECT_EQ(200, call->mStatus);
}

// Guards against a request that runs by a key that was withdrawn while the
// event loop stood still.
TEST(OldConfiguration, NothingRunsByWhatWasKnownBeforeAStandstill)
{
  EntryTestFleet fleet;
  TestCallPtr call = CallDuringStandstill(
    fleet, [&] { WithdrawKeyOfGlobex(fleet); }, "/order/x", kGlobex);
  EXPECT_EQ(401, call->mStatus);
  EXPECT_EQ(0, fleet.RunsOf("r1"));
}

// Guards against a request that runs by a key that was withdrawn, as the passes
// of the event loop are so slow that a check ends before its answer is read.
TEST(OldConfiguration, NothingRunsByWhatWasKnownWhilePassesAreSlow)
{
  EntryFleetOptions options;
  options.mStep = Millis(5);
  EntryTestFleet fleet(options);
  fleet.AwaitReady();
  fleet.mStore->MuteWatchesOf(0, wire::kConfigKind);
  WithdrawKeyOfGlobex(fleet);
  TestCallPtr call;
  for (int pass = 0; pass < kSlowPasses; ++pass) {
    fleet.mFrozen.insert(0);
    fleet.RunFor(kSlowPass);
    if (pass == 0) {
      call = fleet.Send(0, "/order/x", "r1", kGlobex);
      fleet.RunFor(Millis(100));
    }
    fleet.mFrozen.erase(0);
    fleet.RunFor(options.mStep);
  }
  fleet.RunFor(kSettled);
  // 503 if the answer came too late for a denial.
  EXPECT_TRUE(call->mStatus == 401 || call->mStatus == 503) << call->mStatus;
  EXPECT_EQ(0, fleet.RunsOf("r1"));
}

// Guards against denials by a configuration that nothing has confirmed for
// longer than the limit. A zone that is cut off from the store serves on.
TEST(OldConfiguration, CutOffInstanceServesOnAndDeniesNothing)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  EXPECT_EQ(401, fleet.Call(0, "/order/x", "r1", kUnknownKey)->mStatus);
  fleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Silent);
  fleet.RunFor(kApplyLimit + kSettled);
  for (const char* id : { "r2", "r3" }) {
    TestCallPtr denied = fleet.Call(0, "/order/x", id, kUnknownKey);
    EXPECT_EQ(503, denied->mStatus);
    EXPECT_NE("", denied->Field(wire::kRetryAfter));
  }
  EXPECT_EQ(200, fleet.Call(0, "/order/x", "r4")->mStatus);
  fleet.mStore->SetFaultModeOfAll(StandInStore::FaultMode::Serves);
  fleet.RunFor(kApplyLimit + kSettled);
  EXPECT_EQ(401, fleet.Call(0, "/order/x", "r5", kUnknownKey)->mStatus);
}

// Guards against a request that waits for its model and then runs by a key that
// was withdrawn, or at a service that its route had left, seconds before.
TEST(OldConfiguration, WaitingRequestFollowsTheConfiguration)
{
  EntryTestFleet fleet;
  fleet.mEngines[0]->mLoadTime = Millis(2500);
  for (Json::Value& model : fleet.mConfig["services"][1]["engine"]["models"]) {
    model["loadS"] = 2.5;
    model["diskS"] = 2.5;
    model["warmS"] = 2.5;
  }
  for (Json::Value& route : fleet.mConfig["routes"]) {
    route["timeoutMs"] = 10000;
    route["targetLatencyMs"] = 3000;
  }
  fleet.Configure();
  fleet.AwaitReady();
  std::vector<HttpField> model = { { wire::kModel, "m5" },
                                   { wire::kTokens, "100,50" },
                                   { wire::kDeadline, "10000" } };
  std::vector<HttpField> globex = model;
  globex.push_back(kGlobex[0]);
  auto withdrawn = fleet.Send(0, "/stream/x", "withdrawn", globex);
  auto removed = fleet.Send(0, "/resume/stream/x", "removed", model);
  auto stays = fleet.Send(0, "/stream/x", "stays", model);
  fleet.RunFor(Millis(300));
  Json::Value routes(Json::arrayValue);
  for (Json::ArrayIndex i = 0; i < 3; ++i) {
    routes.append(fleet.mConfig["routes"][i]);
  }
  fleet.mConfig["routes"] = routes;
  WithdrawKeyOfGlobex(fleet);
  fleet.RunFor(Seconds(4));
  EXPECT_EQ(401, withdrawn->mStatus);
  EXPECT_EQ(0, fleet.RunsOf("withdrawn"));
  EXPECT_EQ(404, removed->mStatus);
  EXPECT_EQ(0, fleet.RunsOf("removed"));
  EXPECT_EQ(200, stays->mStatus);
}

} // namespace caraway
