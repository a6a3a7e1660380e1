#include <future>
#include <gtest/gtest.h>
#include <thread>

#include "decide/HomeZone.h"
#include "decide/Rendezvous.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

FleetPlan
Plan()
{
  FleetPlan plan;
  plan.mMemory = 1000;
  plan.mModels = 8;
  plan.mProxies = true;
  return plan;
}

// Profiles of models whose home zone is aZone.
std::vector<std::string>
ProfilesWithHomeIn(const Fleet& aFleet, const std::string& aZone)
{
  std::vector<std::string> profiles;
  for (int i = 0; i < aFleet.mPlan.mModels; ++i) {
    std::string model = "m" + std::to_string(i);
    if (HomeZoneOf(aFleet.mPlan.mZones, model) == aZone) {
      profiles.push_back("chat-" + model);
    }
  }
  return profiles;
}

} // namespace

// First requests for one cold model arrive in both zones at once. Guards
// against a load in each zone, after which both replicas would be mostly idle:
// the home zone loads the model and all requests wait for it.
TEST(HomeZones, BurstInAllZonesMakesOneLoad)
{
  Fleet fleet(Plan());
  std::vector<std::future<HttpReply>> burst;
  for (size_t i = 0; i < 12; ++i) {
    burst.push_back(std::async(std::launch::async, [&, i] {
      return fleet.Chat(i % 3, fleet.mKeys["acme"], "chat-m0", 4);
    }));
  }
  for (auto& reply : burst) {
    EXPECT_TRUE(reply.get().Ok());
  }
  EXPECT_EQ(fleet.EngineAudit("loads"), 1);
}

// The home zone is unreachable, and callers elsewhere are served by a replica
// in their own zone. Guards against each model and each instance finding out
// separately, each at the cost of the timeout of a call to an owner. The
// instance that detects it and the model's owner both know, so three instances
// detect it twice at most.
TEST(HomeZones, PartitionedHomeZoneIsDetectedOnce)
{
  FleetPlan plan = Plan();
  plan.mInstances = { 2, 3 };
  plan.mModels = 12;
  Fleet fleet(plan);
  std::vector<std::string> homeProfiles =
    ProfilesWithHomeIn(fleet, "mendoza-a");
  ASSERT_GE(homeProfiles.size(), 4u);
  fleet.CutZone("mendoza-a", true);
  size_t at = 0;
  for (const std::string& profile : homeProfiles) {
    HttpReply reply = fleet.Chat(2 + at++ % 3, fleet.mKeys["acme"], profile, 4);
    EXPECT_TRUE(reply.Ok()) << profile << ": " << reply.mBody;
  }
  double detections = 0;
  for (size_t i = 2; i < 5; ++i) {
    detections +=
      fleet.Metric(i, "caraway_home_silent_total{zone=\"mendoza-a\"}");
  }
  EXPECT_LE(detections, 2);

  EXPECT_EQ(fleet.EngineAudit("loads"), static_cast<int>(homeProfiles.size()));
}

// A replica in the home zone must serve all zones until it is lost. Its engine
// is then killed, and the next request must still be served, by a load
// elsewhere.
TEST(HomeZones, WarmReplicaInHomeZoneServesOtherZones)
{
  Fleet fleet(Plan());
  std::string profile = ProfilesWithHomeIn(fleet, "mendoza-a").at(0);
  EXPECT_TRUE(fleet.Chat(0, fleet.mKeys["acme"], profile, 4).Ok());
  EXPECT_TRUE(fleet.Chat(2, fleet.mKeys["acme"], profile, 4).Ok());
  EXPECT_EQ(fleet.EngineAudit("loads"), 1);
  EXPECT_EQ(fleet.Metric(2, "caraway_served_away_total{zone=\"mendoza-a\"}"),
            1);
  fleet.mEngines[0]->Kill();
  HttpReply reply = fleet.Chat(2, fleet.mKeys["acme"], profile, 4);
  EXPECT_TRUE(reply.Ok()) << reply.mBody;
  EXPECT_EQ(fleet.EngineState(1)["audit"]["loads"].asInt(), 1);
}

// The instance that owns the model in its home zone dies. Guards against
// treating one death as the loss of the zone, which would make all its models
// cold for other zones: the other instance there must be asked.
TEST(HomeZones, OneInstanceDeathDoesNotLoseTheHomeZone)
{
  Fleet fleet(Plan());
  std::string profile = ProfilesWithHomeIn(fleet, "mendoza-a").at(0);
  std::string model = profile.substr(std::string("chat-").size());
  EXPECT_TRUE(fleet.Chat(2, fleet.mKeys["acme"], profile, 4).Ok());
  bool firstIsOwner = RendezvousOwner({ "i0", "i1" }, "model/" + model) == "i0";
  fleet.mInstances[firstIsOwner ? 0 : 1]->Kill();
  EXPECT_TRUE(fleet.Chat(2, fleet.mKeys["acme"], profile, 4).Ok());
  EXPECT_EQ(fleet.EngineState(1)["audit"]["loads"].asInt(), 0);
}

// A zone gets many requests for a model whose home is elsewhere, while its own
// models were used seconds ago. Guards against evicting one of those for a
// second, optional replica: the evicted model would be requested again and
// evict in turn. Without free memory the optional replica must not be loaded.
TEST(HomeZones, BusyZoneEvictsNothingInUse)
{
  FleetPlan plan = Plan();
  plan.mMemory = 100; // two models
  Fleet fleet(plan);
  std::vector<std::string> ownProfiles =
    ProfilesWithHomeIn(fleet, "uspallata-b");
  std::string busyProfile = ProfilesWithHomeIn(fleet, "mendoza-a").at(0);
  ASSERT_GE(ownProfiles.size(), 2u);
  for (const std::string& profile :
       { ownProfiles[0], ownProfiles[1], busyProfile }) {
    EXPECT_TRUE(fleet.Chat(2, fleet.mKeys["acme"], profile, 1).Ok());
  }
  std::this_thread::sleep_for(Millis(2200)); // before that, none may be evicted
  for (int i = 0; i < 80; ++i) {
    EXPECT_TRUE(fleet.Chat(2, fleet.mKeys["acme"], busyProfile, 1).Ok());
  }
  EXPECT_TRUE(Eventually(Seconds(5), [&] {
    return fleet.Metric(2, "caraway_optional_loads_given_up_total") == 1;
  }));
  EXPECT_EQ(fleet.EngineAudit("loads"), 3);
}

// A zone whose engines were all removed must serve its callers from the other
// zone.
TEST(HomeZones, ZoneWithoutEnginesServesFromTheOther)
{
  Fleet fleet(Plan());
  fleet.Configure([](Json::Value& aConfig) {
    Json::Value kept;
    for (const Json::Value& endpoint : aConfig["endpoints"]) {
      if (endpoint["name"].asString() != "llm-uspallata-b0") {
        kept.append(endpoint);
      }
    }
    aConfig["endpoints"] = kept;
  });
  for (int model = 0; model < fleet.mPlan.mModels; ++model) {
    std::string profile = "chat-m" + std::to_string(model);
    HttpReply reply = fleet.Chat(2, fleet.mKeys["acme"], profile, 4);
    EXPECT_TRUE(reply.Ok()) << profile << ": " << reply.mBody;
  }
}

} // namespace caraway
