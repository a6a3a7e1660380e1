#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "decide/DemandExchange.h"

namespace caraway {

namespace {

constexpr size_t kInstances = 300;
constexpr size_t kHeartbeatsPerTick = 8;
constexpr int kTicksPerRound = 38; // kInstances over kHeartbeatsPerTick
constexpr Millis kTick{ 250 };
constexpr int kModels = 800;
constexpr double kRequestsPerTick = 10; // of the whole fleet, for rare models
constexpr int kTicks = 200;

const TimePoint kStart{ Seconds(1000) };

std::string
Model(int aIndex)
{
  return "m" + std::to_string(aIndex);
}

// A fleet whose callers ask for rare models, all equally often.
class Fleet
{
public:
  Fleet()
    : mExchanges(kInstances)
  {
  }

  // Returns the highest rate of any model that the lease holder ever sees.
  double Run()
  {
    double highest = 0;
    for (int tick = 0; tick < kTicks; ++tick) {
      mNow += kTick;
      for (int i = 0; i < kRequestsPerTick; ++i) {
        mExchanges[1 + mRandom() % (kInstances - 1)].CountOwn(
          Model(static_cast<int>(mRandom() % kModels)), mNow);
      }
      SendAll();
      for (const auto& [model, rate] : mExchanges[0].Rates(mNow)) {
        highest = std::max(highest, rate);
      }
    }
    return highest;
  }

  // Rates that the lease holder sees, summed over the models.
  double Total() const
  {
    double total = 0;
    for (const auto& [model, rate] : mExchanges[0].Rates(mNow)) {
      total += rate;
    }
    return total;
  }

private:
  void SendAll()
  {
    for (size_t i = 1; i < kInstances; ++i) {
      mExchanges[0].OnReport(mExchanges[i].TakeForHolders(), "a", mNow);
      DemandReport report = mExchanges[i].TakeForHeartbeat();
      bool reaches = mRandom() % kInstances < kHeartbeatsPerTick;
      if (reaches) {
        mExchanges[0].OnHeartbeat(report, "a", kTicksPerRound, mNow);
      }
    }
  }

  std::mt19937 mRandom{ 1 };
  TimePoint mNow = kStart;
  std::vector<DemandExchange> mExchanges; // the first one holds the lease
};

} // namespace

// Guards against a lease holder of a large fleet that takes a rare model for a
// popular one because one heartbeat in many reaches it, and unloads a model
// that is in use for it.
TEST(DemandExchange, RareModelsLookRareToTheHolder)
{
  constexpr double kPopularRate = 2.0; // requests a second
  Fleet fleet;
  EXPECT_LT(fleet.Run(), kPopularRate);
  double perSecond = kRequestsPerTick * 1000.0 / kTick.count();
  EXPECT_NEAR(fleet.Total(), perSecond, 0.1 * perSecond);
}

// Guards against instances other than lease holders, which get no reports,
// without any idea of the demand when one of them takes over.
TEST(DemandExchange, WithoutReportsHeartbeatsCount)
{
  DemandExchange exchange;
  exchange.OnHeartbeat({ { { "m1", 2 } }, {} }, "a", 4, kStart);
  EXPECT_NEAR(exchange.Rate("m1", kStart), 1.0, 1e-9);
  exchange.OnReport({ { { "m2", 8 } }, {} }, "a", kStart);
  exchange.OnHeartbeat({ { { "m1", 2 } }, {} }, "a", 4, kStart);
  EXPECT_NEAR(exchange.Rate("m1", kStart), 1.0, 1e-9);
  EXPECT_NEAR(exchange.Rate("m2", kStart), 1.0, 1e-9);
  TimePoint later = kStart + Seconds(100);
  exchange.OnHeartbeat({ { { "m1", 2 } }, {} }, "a", 4, later);
  EXPECT_NEAR(exchange.Rate("m1", later), 1.0, 1e-3);
}

} // namespace caraway
