#include <atomic>
#include <gtest/gtest.h>
#include <thread>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

// One large tenant floods the model with briefings from all instances, far
// more than the engine can serve. Bulletins of a small tenant for the same
// model keep being served in their time: they pass the queue, and a place is
// kept from the briefings. What is refused of the flood is refused with when
// to come back.
TEST(InTime, BulletinsAreServedDuringABriefingFlood)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 3 };
  plan.mEngines = 1;
  Fleet fleet(plan);
  int64_t revision = fleet.Configure([](Json::Value& aConfig) {
    for (Json::Value& profile : aConfig["profiles"]) {
      if (profile["name"] == "brief") {
        profile["model"] = "m0";
        profile["first_token_ms"] = 1000;
      }
    }
  });
  ASSERT_TRUE(fleet.AwaitRevision(revision, Seconds(9)));
  ASSERT_TRUE(fleet.Chat(0, fleet.mKeys["acme"], "notice", 1).Ok());
  std::atomic<bool> ending{ false };
  std::atomic<int> briefingsServed{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> withoutRetryAfter{ 0 };
  std::vector<std::thread> flood;
  for (size_t i = 0; i < 36; ++i) {
    flood.emplace_back([&, i] {
      while (!ending) {
        HttpReply reply = fleet.Chat(i % 3, fleet.mKeys["globex"], "brief", 80);
        briefingsServed += reply.Ok() ? 1 : 0;
        refused += reply.mStatus == 503 || reply.mStatus == 504 ? 1 : 0;
        withoutRetryAfter +=
          !reply.Ok() && reply.Header("retry-after").empty() ? 1 : 0;
      }
    });
  }
  int served = 0;
  double worst = 0;
  for (int i = 0; i < 30; ++i) {
    auto begun = std::chrono::steady_clock::now();
    served +=
      fleet.Chat(static_cast<size_t>(i % 3), fleet.mKeys["acme"], "notice", 1)
          .Ok()
        ? 1
        : 0;
    worst = std::max(
      worst,
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
        .count());
    std::this_thread::sleep_for(Millis(80));
  }
  ending = true;
  for (std::thread& thread : flood) {
    thread.join();
  }
  EXPECT_EQ(served, 30);
  EXPECT_LT(worst, 1.4);
  EXPECT_GT(briefingsServed, 0);
  EXPECT_GT(refused, 0);
  EXPECT_EQ(withoutRetryAfter, 0);
  RecordProperty("worst_ms", static_cast<int>(worst * 1000));
}

// All engines are gone. Every request is refused at once and says when to come
// back; none waits for its deadline, half a minute away.
TEST(InTime, RefusedAtOnceWhenAllEnginesAreDown)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 2 };
  Fleet fleet(plan);
  for (auto& engine : fleet.mEngines) {
    engine->Kill();
  }
  auto begun = std::chrono::steady_clock::now();
  HttpReply reply = fleet.Chat(1, fleet.mKeys["acme"], "chat-m0", 4);
  EXPECT_EQ(reply.mStatus, 503);
  EXPECT_EQ(JsonParseOrEmpty(reply.mBody)["run"].asString(), "not_run");
  EXPECT_FALSE(reply.Header("retry-after").empty());
  EXPECT_LT(std::chrono::steady_clock::now() - begun, Seconds(3));
}

namespace {

FleetPlan
OneEngine()
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 3 };
  plan.mEngines = 1;
  return plan;
}

double
SecondsSince(std::chrono::steady_clock::time_point aBegun)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       aBegun)
    .count();
}

} // namespace

// A large tenant's chat fills the engine, which then slows to a tenth. What it
// has begun goes on for seconds and can't be put aside. Bulletins of a small
// tenant are served in their time or refused at once, with when to come back;
// none is held until its time is over, and most are served.
TEST(InTime, BulletinsOnASlowedEngine)
{
  Fleet fleet(OneEngine());
  ASSERT_TRUE(fleet.Chat(0, fleet.mKeys["acme"], "notice", 1).Ok());
  std::atomic<bool> ending{ false };
  std::vector<std::thread> flood;
  for (size_t i = 0; i < 24; ++i) {
    flood.emplace_back([&, i] {
      while (!ending) {
        fleet.Chat(i % 3, fleet.mKeys["globex"], "chat-m0", 40);
        std::this_thread::sleep_for(Millis(20));
      }
    });
  }
  int served = 0;
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    if (i == 10) {
      Json::Value slow;
      slow["token_ms"] = 50;
      fleet.Call(fleet.mEngines[0]->Address(), "POST", "/control", slow);
    }
    auto begun = std::chrono::steady_clock::now();
    HttpReply reply =
      fleet.Chat(static_cast<size_t>(i % 3), fleet.mKeys["acme"], "notice", 1);
    double took = SecondsSince(begun);
    served += reply.Ok() ? 1 : 0;
    if (!reply.Ok()) {
      ++refused;
      EXPECT_FALSE(reply.Header("retry-after").empty()) << reply.mBody;
      EXPECT_EQ(JsonParseOrEmpty(reply.mBody)["run"].asString(), "not_run");
    }
    EXPECT_LT(took, 1.4 + 0.3) << reply.mStatus; // and one slow token
    std::this_thread::sleep_for(Millis(60));
  }
  ending = true;
  for (std::thread& thread : flood) {
    thread.join();
  }
  EXPECT_EQ(served + refused, 40);
  EXPECT_GE(served, 30);
  std::printf("served %d, refused %d of 40\n", served, refused);
}

// A burst of chat, several times what can be served in time. Those refused
// come back when they were told, once, and most are served then. Told the
// length of the queue as it stands, all would come back at one moment.
TEST(InTime, MostOfABurstAreServedOnRetry)
{
  Fleet fleet(OneEngine());
  for (int i = 0; i < 8; ++i) {
    ASSERT_TRUE(fleet.Chat(0, fleet.mKeys["acme"], "chat-m0", 40).Ok());
  }
  std::atomic<int> first{ 0 };
  std::atomic<int> retried{ 0 };
  std::atomic<int> servedOnRetry{ 0 };
  std::vector<std::thread> burst;
  for (size_t i = 0; i < 150; ++i) {
    burst.emplace_back([&, i] {
      // Another length each: what comes back is known by what it asks.
      int tokens = 30 + static_cast<int>(i % 20);
      std::string key = fleet.mKeys[i % 2 ? "acme" : "globex"];
      HttpReply reply = fleet.Chat(i % 3, key, "chat-m0", tokens);
      if (reply.Ok()) {
        ++first;
        return;
      }
      std::this_thread::sleep_for(
        Seconds(std::atoi(reply.Header("retry-after").c_str())));
      ++retried;
      servedOnRetry += fleet.Chat(i % 3, key, "chat-m0", tokens).Ok() ? 1 : 0;
    });
  }
  for (std::thread& thread : burst) {
    thread.join();
  }
  std::printf("first %d, back %d, then %d\n",
              first.load(),
              retried.load(),
              servedOnRetry.load());
  EXPECT_GT(first, 20);
  EXPECT_GT(retried, 20);
  EXPECT_GT(servedOnRetry * 2, retried);
}

} // namespace caraway
