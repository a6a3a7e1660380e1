#include <atomic>
#include <gtest/gtest.h>
#include <thread>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

Json::Value
Mode(const char* aMode)
{
  Json::Value mode;
  mode["mode"] = aMode;
  return mode;
}

void
RemoveKey(Json::Value& aConfig, const std::string& aId)
{
  Json::Value kept(Json::arrayValue);
  for (const Json::Value& key : aConfig["keys"]) {
    if (key["id"] != aId) {
      kept.append(key);
    }
  }
  aConfig["keys"] = kept;
}

FleetPlan
Plan()
{
  FleetPlan plan;
  plan.mProxies = true;
  return plan;
}

} // namespace

// A key is withdrawn during a stream. The stream must end with an error event
// within seconds, and every instance must refuse new requests with this key;
// other keys must still work.
TEST(Keys, WithdrawnKeyEndsItsStreams)
{
  FleetPlan plan;
  plan.mEngineFlags = { "--token_ms=50" };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  fleet.Chat(0, key, "chat-m0", 1);
  HttpReply reply;
  std::thread caller([&] { reply = fleet.Chat(0, key, "chat-m0", 200, true); });
  EXPECT_TRUE(Eventually(
    Seconds(5), [&] { return fleet.EngineState(0)["active"].asInt() == 1; }));
  std::this_thread::sleep_for(Millis(300)); // until some tokens were sent
  auto begun = std::chrono::steady_clock::now();
  int64_t revision = fleet.Configure(
    [](Json::Value& aConfig) { RemoveKey(aConfig, "key-acme"); });
  caller.join();
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Seconds(3));
  EXPECT_NE(reply.mBody.find("event: error"), std::string::npos)
    << reply.mStatus << reply.mError << reply.mBody;
  EXPECT_EQ(reply.mBody.find("[DONE]"), std::string::npos);
  ASSERT_TRUE(fleet.AwaitRevision(revision, Seconds(9)));
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(fleet.Chat(i, key, "chat-m0", 1).mStatus, 401);
    EXPECT_TRUE(fleet.Chat(i, fleet.mKeys["globex"], "chat-m0", 1).Ok());
  }
}

// A key is withdrawn while its caller waits for a model load. The caller must
// be refused within seconds instead of at the end of the load, and nothing may
// run for it; another tenant's caller waiting for the same load is served.
TEST(Keys, WithdrawnKeyEndsItsWaits)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  plan.mWeightsMs = 6000;
  Fleet fleet(plan);
  HttpReply refused;
  HttpReply served;
  auto wait = [&](HttpReply& aReply, const char* aTenant) {
    return std::thread([&aReply, aTenant, &fleet] {
      aReply = fleet.Chat(0, fleet.mKeys[aTenant], "chat-m0", 1);
    });
  };
  std::thread acme = wait(refused, "acme");
  std::thread globex = wait(served, "globex");
  EXPECT_TRUE(Eventually(Seconds(5), [&] {
    return fleet.EngineState(0)["audit"]["loads"].asInt() == 1;
  }));
  auto begun = std::chrono::steady_clock::now();
  fleet.Configure([](Json::Value& aConfig) { RemoveKey(aConfig, "key-acme"); });
  acme.join();
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Seconds(4));
  EXPECT_EQ(refused.mStatus, 401) << refused.mBody;
  EXPECT_NE(refused.mBody.find("not_run"), std::string::npos) << refused.mBody;
  globex.join();
  EXPECT_TRUE(served.Ok()) << served.mBody;
  EXPECT_EQ(fleet.EngineState(0)["audit"]["generated"].asInt(), 1);
}

// One zone can't reach the platform, but its peers in the other zone can. A
// change must reach it through them.
TEST(Config, ChangeReachesAZoneWithoutPlatform)
{
  Fleet fleet(Plan());
  fleet.ProxyMode(*fleet.mPlatformProxies["uspallata-b"], Mode("cut"));
  int64_t revision = fleet.Configure(
    [](Json::Value& aConfig) { aConfig["profiles"][0]["max_tokens"] = 3; });
  EXPECT_TRUE(fleet.AwaitRevision(revision, Seconds(9)));
}

// For a while after each change the platform answers reads with the state
// before it, and an instance is restarted in between. Guards against a return
// to an earlier revision; all instances must reach the newest.
TEST(Config, RevisionNeverGoesBack)
{
  Fleet fleet({});
  std::atomic<bool> ending{ false };
  std::atomic<int> reverts{ 0 };
  std::thread watcher([&] {
    std::map<size_t, int64_t> seen;
    while (!ending) {
      for (size_t i = 0; i < 2; ++i) {
        int64_t now = fleet.Status(i)["revision"].asInt64();
        reverts += now < seen[i] ? 1 : 0;
        seen[i] = now;
      }
    }
  });
  fleet.PlatformFault("stale_ms", 700);
  int64_t revision = 1;
  for (int i = 0; i < 4; ++i) {
    // The administration port reads the configuration from the platform. If it
    // gets a stale one, the change is refused like that of a second operator.
    Eventually(Seconds(5), [&] {
      try {
        revision = fleet.Configure([&](Json::Value& aConfig) {
          aConfig["profiles"][0]["max_tokens"] = 10 + i;
        });
        return true;
      } catch (const std::exception&) {
        return false;
      }
    });
    if (i == 1) {
      fleet.mInstances[2]->Kill();
      fleet.mInstances[2] = fleet.StartInstance(2);
      fleet.Announce(2, false);
    }
  }
  EXPECT_EQ(revision, 5);
  EXPECT_TRUE(fleet.AwaitRevision(revision, Seconds(9)));
  ending = true;
  watcher.join();
  EXPECT_EQ(reverts, 0);
}

// An instance starts during a platform outage. It isn't ready without a
// configuration, so it must take one from a peer; it then knows every key.
TEST(Config, NewInstanceStartsInAnOutage)
{
  Fleet fleet({});
  std::string key = fleet.mKeys["acme"];
  EXPECT_TRUE(fleet.Chat(0, key, "chat-m0", 1).Ok());
  fleet.PlatformFault("outage", "refuse");
  fleet.mInstances[1]->Kill();
  fleet.mInstances[1] = fleet.StartInstance(1);
  EXPECT_TRUE(Eventually(
    Seconds(9), [&] { return fleet.Status(1)["revision"].asInt64() == 1; }));
  std::string caller = fleet.mInstances[1]->Address("caller");
  EXPECT_TRUE(fleet.Call(caller, "GET", "/v1/models", {}, key).Ok());
  EXPECT_EQ(fleet.Call(caller, "GET", "/v1/models", {}, "wrong").mStatus, 401);
}

// A zone is partitioned from the platform and all other zones. It must keep
// serving the keys it knows for the configured time, then refuse with a reason,
// and serve again after the partition.
TEST(Keys, PartitionedZoneServesForTheConfiguredTime)
{
  FleetPlan plan = Plan();
  plan.mSettings = { "[keys]", "max_age_s = 4" };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  std::string caller = fleet.mInstances[2]->Address("caller");
  auto status = [&] {
    return fleet.Call(caller, "GET", "/v1/models", {}, key).mStatus;
  };
  fleet.CutZone("uspallata-b", true);
  EXPECT_EQ(status(), 200);
  EXPECT_TRUE(Eventually(Seconds(25), [&] { return status() == 503; }));
  EXPECT_EQ(
    fleet
      .Call(
        fleet.mInstances[0]->Address("caller"), "GET", "/v1/models", {}, key)
      .mStatus,
    200);
  fleet.CutZone("uspallata-b", false);
  EXPECT_TRUE(Eventually(Seconds(9), [&] { return status() == 200; }));
}

// Two operators change the same revision. The second must be refused with the
// first one's note, and the first change must not be lost.
TEST(Config, SecondOfTwoConcurrentChangesIsRefused)
{
  Fleet fleet({});
  Json::Value read =
    JsonParseOrEmpty(fleet
                       .Call(fleet.mInstances[0]->Address("admin"),
                             "GET",
                             "/admin/v1/config",
                             {},
                             fleet.mAdminKey)
                       .mBody);
  Json::Value body;
  body["expected"] = read["revision"];
  body["config"] = read["config"];
  body["note"] = "first";
  std::string admin = fleet.mInstances[2]->Address("admin");
  EXPECT_TRUE(
    fleet.Call(admin, "POST", "/admin/v1/config", body, fleet.mAdminKey).Ok());
  body["note"] = "second";
  HttpReply late = fleet.Call(fleet.mInstances[1]->Address("admin"),
                              "POST",
                              "/admin/v1/config",
                              body,
                              fleet.mAdminKey);
  EXPECT_EQ(late.mStatus, 409);
  EXPECT_NE(late.mBody.find("first"), std::string::npos) << late.mBody;
  body["config"]["profiles"][0]["clas"] = "urgent";
  HttpReply bad =
    fleet.Call(admin, "POST", "/admin/v1/config", body, fleet.mAdminKey);
  EXPECT_EQ(bad.mStatus, 422);
  EXPECT_NE(bad.mBody.find("clas: unknown field"), std::string::npos);
  EXPECT_EQ(
    fleet.Call(admin, "POST", "/admin/v1/config", body, "wrong").mStatus, 401);
}

} // namespace caraway
