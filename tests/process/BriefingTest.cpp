#include <gtest/gtest.h>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

HttpReply
Submit(Fleet& aFleet, size_t aInstance, const std::string& aProfile)
{
  Json::Value body;
  body["model"] = aProfile;
  body["max_tokens"] = 5;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = "the week at the pass";
  return aFleet.Call(aFleet.mInstances[aInstance]->Address("caller"),
                     "POST",
                     "/v1/briefings",
                     body,
                     aFleet.mKeys["acme"]);
}

Json::Value
Fetch(Fleet& aFleet,
      size_t aInstance,
      const std::string& aLocation,
      const char* aTenant = "acme")
{
  return JsonParseOrEmpty(
    aFleet
      .Call(aFleet.mInstances[aInstance]->Address("caller"),
            "GET",
            aLocation,
            {},
            aFleet.mKeys[aTenant])
      .mBody);
}

} // namespace

// Briefings are accepted while no engine can serve them, then all instances are
// killed. Guards against losing accepted briefings: new instances must find and
// run them, and only the tenant that submitted them may read the results.
TEST(Briefings, SurviveLossOfAllInstances)
{
  FleetPlan plan;
  plan.mEngineFlags = { "--store=", "--load_ms=1500" };
  Fleet fleet(plan);
  std::vector<std::string> locations;
  for (size_t i = 0; i < 3; ++i) {
    HttpReply reply = Submit(fleet, i, "brief");
    ASSERT_EQ(reply.mStatus, 202) << reply.mBody;
    locations.push_back(reply.Header("location"));
  }
  for (size_t i = 0; i < 3; ++i) {
    fleet.mInstances[i]->Kill();
  }
  for (size_t i = 0; i < 3; ++i) {
    fleet.mInstances[i] = fleet.StartInstance(i);
    fleet.Announce(i, false);
  }
  for (const std::string& location : locations) {
    EXPECT_TRUE(
      Eventually(Seconds(30),
                 [&] { return Fetch(fleet, 1, location)["state"] == "done"; }))
      << location;
    Json::Value result = Fetch(fleet, 0, location)["result"];
    EXPECT_EQ(result["choices"][0]["message"]["content"].asString(),
              "w0 w1 w2 w3 w4 ");
    EXPECT_EQ(Fetch(fleet, 0, location, "globex")["status"].asInt(), 404);
  }
}

// A briefing that the platform can't store must not be acknowledged. If only
// the platform's answer is lost, the write is found again and the briefing is
// acknowledged. A briefing whose key is withdrawn before it runs ends with a
// refusal that can be fetched.
TEST(Briefings, AcknowledgedOnlyWhenStored)
{
  FleetPlan plan;
  plan.mSettings = { "timeout_ms = 300" }; // of [platform]
  Fleet fleet(plan);
  fleet.PlatformFault("outage", "refuse");
  EXPECT_NE(Submit(fleet, 0, "brief").mStatus, 202);
  fleet.PlatformFault("outage", "");
  fleet.PlatformFault("lose_answers", 2);
  HttpReply stored = Submit(fleet, 1, "brief");
  EXPECT_EQ(stored.mStatus, 202);
  EXPECT_TRUE(Eventually(Seconds(20), [&] {
    return Fetch(fleet, 2, stored.Header("location"))["state"] == "done";
  }));
  for (auto& engine : fleet.mEngines) {
    engine->Kill();
  }
  HttpReply openBriefing = Submit(fleet, 0, "chat-m3");
  ASSERT_EQ(openBriefing.mStatus, 202);
  fleet.Configure([&](Json::Value& aConfig) {
    aConfig["keys"][0]["id"] = "key-renewed"; // same key, granted anew
  });
  EXPECT_TRUE(Eventually(Seconds(20), [&] {
    return Fetch(fleet, 2, openBriefing.Header("location"))["state"] ==
           "refused";
  }));
  EXPECT_EQ(Fetch(fleet, 2, openBriefing.Header("location"))["problem"]["run"]
              .asString(),
            "not_run");
}

} // namespace caraway
