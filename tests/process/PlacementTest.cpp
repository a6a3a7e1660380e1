#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <random>
#include <set>
#include <thread>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

std::set<std::string>
ReplicasHeld(Fleet& aFleet, size_t aEngine)
{
  std::set<std::string> names;
  for (const Json::Value& replica : aFleet.EngineState(aEngine)["replicas"]) {
    names.insert(replica["name"].asString());
  }
  return names;
}

std::set<std::string>
ReplicasDecided(Fleet& aFleet, const std::string& aEndpoint)
{
  Json::Value list = JsonParseOrEmpty(
    aFleet.Call(aFleet.mPlatform->Address(), "GET", "/list/placement?prefix=")
      .mBody);
  std::set<std::string> names;
  for (const Json::Value& object : list["objects"]) {
    if (object["value"]["endpoint"].asString() != aEndpoint) {
      continue;
    }
    for (const Json::Value& replica : object["value"]["replicas"]) {
      names.insert(replica["name"].asString());
    }
  }
  return names;
}

// Compares the engines with the placement records at the platform while a test
// runs. Counts replicas that an engine held both before and after a read of its
// record that didn't list them.
class Auditor
{
public:
  explicit Auditor(Fleet& aFleet)
    : mFleet(aFleet)
    , mThread([this] { Run(); })
  {
  }
  ~Auditor() { Stop(); }
  void Stop()
  {
    mEnding = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  int Undecided() const { return mUndecided; }
  int Checks() const { return mChecks; }

private:
  void Run()
  {
    while (!mEnding) {
      for (size_t i = 0; i < mFleet.mEngines.size(); ++i) {
        size_t zone = i / static_cast<size_t>(mFleet.mPlan.mEngines);
        std::string name =
          "llm-" + mFleet.mPlan.mZones[zone] +
          std::to_string(i % static_cast<size_t>(mFleet.mPlan.mEngines));
        std::set<std::string> before = ReplicasHeld(mFleet, i);
        std::set<std::string> decided = ReplicasDecided(mFleet, name);
        std::set<std::string> after = ReplicasHeld(mFleet, i);
        for (const std::string& model : before) {
          mUndecided += after.count(model) && !decided.count(model) ? 1 : 0;
        }
        ++mChecks;
      }
    }
  }

  Fleet& mFleet;
  std::atomic<bool> mEnding{ false };
  std::atomic<int> mUndecided{ 0 };
  std::atomic<int> mChecks{ 0 };
  std::thread mThread;
};

size_t
OwnerOfLoad(Fleet& aFleet)
{
  for (size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    if (aFleet.Metric(i, "caraway_loads_decided_total") > 0) {
      return i;
    }
  }
  return aFleet.mInstances.size();
}

} // namespace

// First requests for one cold model reach all instances of a zone at once.
// Guards against one load per instance: each asks the model's owner, which
// decides on one load, and all wait for it.
TEST(Placement, BurstMakesOneLoad)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 4 };
  plan.mEngines = 3;
  Fleet fleet(plan);
  std::vector<std::future<HttpReply>> burst;
  for (size_t i = 0; i < 16; ++i) {
    burst.push_back(std::async(std::launch::async, [&, i] {
      return fleet.Chat(i % 4, fleet.mKeys["acme"], "chat-m0", 4);
    }));
  }
  for (auto& reply : burst) {
    EXPECT_TRUE(reply.get().Ok());
  }
  EXPECT_EQ(fleet.EngineAudit("loads"), 1);
}

// The instance that decided a load is killed while the engine loads. The
// decision is stored at the platform, so the next instance must finish this
// load instead of deciding on a second one.
TEST(Placement, DeciderKilledWhileLoading)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 3 };
  plan.mEngines = 2;
  plan.mEngineFlags = { "--store=", "--load_ms=1200" };
  Fleet fleet(plan);
  auto first = std::async(std::launch::async, [&] {
    return fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 4);
  });
  ASSERT_TRUE(
    Eventually(Seconds(5), [&] { return fleet.EngineAudit("loads") == 1; }));
  size_t owner = OwnerOfLoad(fleet);
  ASSERT_LT(owner, fleet.mInstances.size());
  fleet.mInstances[owner]->Kill();
  size_t other = owner == 2 ? 1 : 2;
  HttpReply reply = fleet.Chat(other, fleet.mKeys["acme"], "chat-m0", 4);
  EXPECT_TRUE(reply.Ok()) << reply.mStatus << reply.mError << reply.mBody;
  EXPECT_EQ(fleet.EngineAudit("loads"), 1);
  first.wait();
}

// The platform refuses to store the decision on a load, then takes it. Guards
// against ordering a load that isn't in the record: another instance would
// count the engine's memory as free.
TEST(Placement, LoadWhoseDecisionIsRefusedIsNotOrdered)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mEngines = 1;
  Fleet fleet(plan);
  Json::Value refusal;
  refusal["placement"] = 403;
  fleet.PlatformFault("refuse_writes", refusal);
  auto call = std::async(std::launch::async, [&] {
    return fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 4);
  });
  std::this_thread::sleep_for(Millis(600));
  EXPECT_EQ(fleet.EngineAudit("loads"), 0);
  fleet.PlatformFault("refuse_writes", Json::Value(Json::objectValue));
  HttpReply reply = call.get();
  EXPECT_TRUE(reply.Ok()) << reply.mStatus << reply.mError << reply.mBody;
  EXPECT_EQ(fleet.EngineAudit("loads"), 1);
}

// The platform refuses all calls for a second, as during a restart, while a
// load is decided. Guards against refusing the callers that wait for the load
// although most of their time is left.
TEST(Placement, LoadOutlastsAShortOutageOfThePlatform)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mEngines = 1;
  Fleet fleet(plan);
  fleet.PlatformFault("outage", "refuse");
  auto call = std::async(std::launch::async, [&] {
    return fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 4);
  });
  std::this_thread::sleep_for(Seconds(1));
  fleet.PlatformFault("outage", "");
  HttpReply reply = call.get();
  EXPECT_TRUE(reply.Ok()) << reply.mStatus << reply.mError << reply.mBody;
  EXPECT_EQ(fleet.EngineAudit("loads"), 1);
}

// The owner is frozen after it decided a load, and the others take over and
// load models. When it resumes, it must find its decision outdated and order
// nothing. The engine's memory must never be overcommitted.
TEST(Placement, FrozenOwnerOrdersNothingAfterThaw)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 3 };
  plan.mEngines = 1;
  plan.mEngineFlags = { "--store=", "--load_ms=400" };
  Fleet fleet(plan);
  Auditor auditor(fleet);
  auto first = std::async(std::launch::async, [&] {
    return fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 4);
  });
  ASSERT_TRUE(
    Eventually(Seconds(5), [&] { return fleet.EngineAudit("loads") == 1; }));
  size_t owner = OwnerOfLoad(fleet);
  ASSERT_LT(owner, fleet.mInstances.size());
  fleet.mInstances[owner]->Stop();
  size_t other = owner == 2 ? 1 : 2;
  for (const char* profile : { "chat-m1", "chat-m2", "chat-m3" }) {
    EXPECT_TRUE(fleet.Chat(other, fleet.mKeys["acme"], profile, 4).Ok());
  }
  fleet.mInstances[owner]->Continue();
  first.wait();
  EXPECT_TRUE(fleet.Chat(owner, fleet.mKeys["acme"], "chat-m0", 4).Ok());
  auditor.Stop();
  EXPECT_GT(auditor.Checks(), 0);
  EXPECT_EQ(auditor.Undecided(), 0);
  EXPECT_EQ(fleet.EngineAudit("overcommits"), 0);
}

class PlacementUnderFaults : public testing::TestWithParam<bool>
{};

// Four models compete for the memory of two engines, from three instances at
// once, while answers to orders are lost, the platform fails or loses answers,
// and instances are killed and frozen, from a fixed seed. At no time may an
// engine hold a replica that wasn't decided on, or more bytes than its memory,
// whether it checks fencing numbers or not.
TEST_P(PlacementUnderFaults, NeverMoreThanDecided)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 3 };
  plan.mEngines = 2;
  plan.mFencing = GetParam();
  plan.mEngineFlags = { "--store=", "--load_ms=60" };
  plan.mSettings = { "timeout_ms = 300" }; // of [platform]
  Fleet fleet(plan);
  Auditor auditor(fleet);
  std::mt19937 random(7);
  auto randomBelow = [&](int aLimit) {
    return static_cast<int>(random() % static_cast<unsigned>(aLimit));
  };
  std::atomic<int> served{ 0 };
  for (int round = 0; round < 10; ++round) {
    size_t engine = static_cast<size_t>(randomBelow(2));
    Json::Value fault;
    fault["lose_order_answers"] = randomBelow(2);
    fleet.Call(fleet.mEngines[engine]->Address(), "POST", "/control", fault);
    fleet.PlatformFault("lose_answers", randomBelow(2));
    fleet.PlatformFault("outage", randomBelow(5) == 0 ? "refuse" : "");
    size_t instance = static_cast<size_t>(randomBelow(3));
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
      size_t at = static_cast<size_t>(randomBelow(3));
      std::string profile = "chat-m" + std::to_string(randomBelow(4));
      callers.emplace_back([&fleet, &served, at, profile] {
        Json::Value body;
        HttpReply reply = fleet.Chat(at, fleet.mKeys["acme"], profile, 3);
        served += reply.Ok() ? 1 : 0;
      });
    }
    if (round % 4 == 1) {
      fleet.mInstances[instance]->Stop();
      std::this_thread::sleep_for(Millis(300));
      fleet.mInstances[instance]->Continue();
    }
    if (round % 4 == 3) {
      fleet.mInstances[instance]->Kill();
    }
    fleet.PlatformFault("outage", "");
    for (std::thread& caller : callers) {
      caller.join();
    }
    if (round % 4 == 3) {
      fleet.mInstances[instance] = fleet.StartInstance(instance);
      fleet.Announce(instance, false);
    }
  }
  auditor.Stop();
  EXPECT_GT(auditor.Checks(), 20);
  EXPECT_EQ(auditor.Undecided(), 0);
  EXPECT_EQ(fleet.EngineAudit("overcommits"), 0);
  EXPECT_GE(served, 20);
}

INSTANTIATE_TEST_SUITE_P(Fencing,
                         PlacementUnderFaults,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "Checked" : "Ignored";
                         });

} // namespace caraway
