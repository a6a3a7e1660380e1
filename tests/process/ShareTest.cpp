#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

#include "base/JsonText.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// One caller for each entry of aInstances. Each sends a request per aPeriod, or
// as fast as it is answered, at a cost of one token. Counts the outcomes.
class LoadGenerator
{
public:
  LoadGenerator(Fleet& aFleet,
                const std::vector<size_t>& aInstances,
                Micros aPeriod = Millis(2))
    : mBegun(std::chrono::steady_clock::now())
  {
    for (size_t instance : aInstances) {
      mThreads.emplace_back([this, &aFleet, instance, aPeriod] {
        auto next = std::chrono::steady_clock::now();
        while (!mEnding) {
          HttpCall call;
          call.mAddress = aFleet.mInstances[instance]->Address("caller");
          call.mPath = "/v1/services/status/pass";
          call.mTimeout = Seconds(5);
          call.mHeaders = { { "Authorization",
                              "Bearer " + aFleet.mKeys["acme"] } };
          HttpReply reply = HttpCallOnce(call);
          mAdmitted += reply.Ok() ? 1 : 0;
          mRefused += reply.mStatus == 429 ? 1 : 0;
          mOther += !reply.Ok() && reply.mStatus != 429 ? 1 : 0;
          next = std::max(next + aPeriod, std::chrono::steady_clock::now());
          std::this_thread::sleep_until(next);
        }
      });
    }
  }
  ~LoadGenerator() { Stop(); }
  void Stop()
  {
    mEnding = true;
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
  }
  double ElapsedSeconds() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         mBegun)
      .count();
  }
  std::atomic<int> mAdmitted{ 0 };
  std::atomic<int> mRefused{ 0 };
  std::atomic<int> mOther{ 0 };

private:
  SteadyTime mBegun;
  std::atomic<bool> mEnding{ false };
  std::vector<std::thread> mThreads;
};

FleetPlan
Plan(double aRate, double aBurst)
{
  FleetPlan plan;
  plan.mRate = aRate;
  plan.mBurst = aBurst;
  plan.mProxies = true;
  plan.mSettings = { "timeout_ms = 300" }; // of [platform]
  return plan;
}

} // namespace

// All holders of a tenant's share are stopped for a third of a second, as on a
// busy machine. Guards against refusing a caller whose request could still be
// served in time.
TEST(Share, HoldersThatAreSilentForAMomentAreWaitedFor)
{
  FleetPlan plan;
  plan.mZones = { "mendoza-a" };
  plan.mInstances = { 3 };
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  ASSERT_TRUE(fleet.Chat(0, key, "chat-m0", 1).Ok());
  // The share's two halves have two holders at most, so that one instance has
  // to ask others.
  size_t asker = 0;
  for (size_t i = 0; i < 3; ++i) {
    double before = fleet.Metric(i, "caraway_share_asks_total");
    ASSERT_TRUE(fleet.Chat(i, key, "chat-m0", 1).Ok());
    asker = fleet.Metric(i, "caraway_share_asks_total") > before ? i : asker;
  }
  auto signalOthers = [&](void (Child::*aSignal)()) {
    for (size_t i = 0; i < 3; ++i) {
      if (i != asker) {
        ((*fleet.mInstances[i]).*aSignal)();
      }
    }
  };
  signalOthers(&Child::Stop);
  std::thread wake([&] {
    std::this_thread::sleep_for(Millis(300));
    signalOthers(&Child::Continue);
  });
  HttpReply reply = fleet.Chat(asker, key, "chat-m0", 1);
  wake.join();
  EXPECT_TRUE(reply.Ok()) << reply.mStatus << reply.mError << reply.mBody;
}

// One tenant sends several times its rate to all instances while a zone is
// partitioned, the platform fails, one instance is frozen and resumed and one
// is killed. Over the whole time no more than burst + rate x time may be
// admitted, and some must be admitted throughout.
TEST(Share, RateAndBurstHoldUnderFaults)
{
  const double rate = 40;
  const double burst = 40;
  Fleet fleet(Plan(rate, burst));
  LoadGenerator load(fleet, { 0, 0, 1, 1, 2, 2 });
  auto admittedDuring = [&](const std::function<void()>& aFault) {
    int before = load.mAdmitted;
    aFault();
    return load.mAdmitted - before;
  };
  auto wait = [] { std::this_thread::sleep_for(Millis(1500)); };
  EXPECT_GT(admittedDuring(wait), 0);
  EXPECT_GT(admittedDuring([&] {
              fleet.CutZone("uspallata-b", true);
              wait();
              fleet.CutZone("uspallata-b", false);
            }),
            0);
  EXPECT_GT(admittedDuring([&] {
              fleet.PlatformFault("outage", "refuse");
              std::this_thread::sleep_for(Millis(5000)); // longer than a lease
              EXPECT_GT(admittedDuring(wait), 0);
              fleet.PlatformFault("outage", "");
            }),
            0);
  fleet.mInstances[1]->Stop();
  wait();
  fleet.mInstances[1]->Continue();
  fleet.mInstances[0]->Kill();
  wait();
  load.Stop();
  EXPECT_LE(load.mAdmitted, burst + rate * load.ElapsedSeconds());
  EXPECT_GT(load.mRefused, load.mAdmitted);
}

// All calls of a tenant reach one instance of one zone, well below its rate.
// This zone's share runs out while the other zone's is unused; tokens must be
// borrowed from there, and nothing may be refused.
TEST(Share, LoadAtOneInstanceIsNotRefused)
{
  Fleet fleet(Plan(320, 320));
  // Limited to 270 per second on any machine: above the zone's 160 and below
  // the total of 320.
  LoadGenerator load(fleet, { 2 }, Micros(3700));
  std::this_thread::sleep_for(Millis(4000));
  load.Stop();
  EXPECT_GT(load.mAdmitted, 200);
  EXPECT_EQ(load.mRefused, 0);
  EXPECT_EQ(load.mOther, 0);
  EXPECT_GT(fleet.Metric(2, "caraway_share_borrowed_total") +
              fleet.Metric(2, "caraway_share_asks_total"),
            0);
}

} // namespace caraway
