// RateBench: requests refused although their tenant was within its rate.
//
// One tenant sends requests at random times from a fixed seed, with a paused
// clock and the product's TokenBucket. "Within its rate" is what a single
// bucket for the whole fleet, queried without delay, would have admitted.
// Compares the product's shares (two holders per zone; tokens are taken from
// the instance's own zone first) with a static split (each of n instances has
// 1/n of the limit).
#include <cstdio>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "decide/TokenBucket.h"

namespace {

using namespace caraway;

struct Fleet
{
  int mInstances;
  int mZones;
  double mRate;  // tokens/s
  double mBurst; // tokens
};

constexpr Seconds kLength{ 120 };
constexpr Seconds kFaultFrom{ 30 };
constexpr Seconds kFaultTo{ 90 };
constexpr Seconds kTakeover{ 8 };  // until a dead holder's slots are taken over
constexpr double kGrantLife = 0.1; // s; lifetime of a token grant

// Decides whether a request at an instance is admitted.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual bool Take(int aInstance, double aTokens, TimePoint aNow) = 0;
  virtual void Kill(int) {}
  virtual void Cut(bool) {}
};

class SingleBucket : public Policy
{
public:
  SingleBucket(const Fleet& aFleet, TimePoint aNow)
    : mBucket(aFleet.mRate, aFleet.mBurst, aNow)
  {
    mBucket.Fill(aFleet.mBurst, aNow);
  }
  bool Take(int, double aTokens, TimePoint aNow) override
  {
    return mBucket.Take(aTokens, aNow);
  }

private:
  TokenBucket mBucket;
};

class StaticSplit : public Policy
{
public:
  StaticSplit(const Fleet& aFleet, TimePoint aNow)
  {
    for (int i = 0; i < aFleet.mInstances; ++i) {
      double burst = aFleet.mBurst / aFleet.mInstances;
      mBuckets.emplace_back(aFleet.mRate / aFleet.mInstances, burst, aNow);
      mBuckets.back().Fill(burst, aNow);
    }
  }
  bool Take(int aInstance, double aTokens, TimePoint aNow) override
  {
    return mBuckets[static_cast<size_t>(aInstance)].Take(aTokens, aNow);
  }

private:
  std::vector<TokenBucket> mBuckets;
};

class Shares : public Policy
{
public:
  Shares(const Fleet& aFleet, TimePoint aNow)
    : mFleet(aFleet)
  {
    int parts = aFleet.mZones * 2;
    double burst = (aFleet.mBurst - aFleet.mRate * kGrantLife) / parts;
    for (int i = 0; i < parts; ++i) {
      mBuckets.emplace_back(aFleet.mRate / parts, burst, aNow);
      mBuckets.back().Fill(burst, aNow);
      mUsableFrom.push_back(TimePoint{});
    }
  }

  bool Take(int aInstance, double aTokens, TimePoint aNow) override
  {
    int zone = aInstance % mFleet.mZones;
    double missing = aTokens;
    std::vector<std::pair<size_t, double>> taken;
    for (int i = 0; i < mFleet.mZones && missing > 1e-9; ++i) {
      int at = (zone + i) % mFleet.mZones;
      if (mCut && at != zone) {
        continue;
      }
      for (int half = 0; half < 2 && missing > 1e-9; ++half) {
        size_t slot = static_cast<size_t>(at * 2 + (half + mFirstHalf) % 2);
        ++mBucketQueries;
        double available = aNow < mUsableFrom[slot]
                             ? 0
                             : std::min(missing, mBuckets[slot].Level(aNow));
        if (available > 0 && mBuckets[slot].Take(available, aNow)) {
          taken.emplace_back(slot, available);
          missing -= available;
        }
      }
    }
    mFirstHalf = 1 - mFirstHalf;
    if (missing <= 1e-9) {
      return true;
    }
    for (const auto& part : taken) {
      mBuckets[part.first].Refund(part.second, aNow, aNow);
    }
    return false;
  }
  // The instance holds half of its zone's share; whichever instance takes that
  // half over starts with an empty bucket.
  void Kill(int aInstance) override
  {
    size_t slot = static_cast<size_t>(aInstance % mFleet.mZones) * 2;
    TimePoint now = TimePoint(Seconds(1000)) + kFaultFrom;
    mUsableFrom[slot] = now + kTakeover;
    mBuckets[slot] = TokenBucket(
      mBuckets[slot].Rate(), mBuckets[slot].Burst(), mUsableFrom[slot]);
  }
  void Cut(bool aCut) override { mCut = aCut; }
  int64_t BucketQueries() const { return mBucketQueries; }

private:
  Fleet mFleet;
  std::vector<TokenBucket> mBuckets; // index: zone * 2 + half
  std::vector<TimePoint> mUsableFrom;
  bool mCut = false;
  int mFirstHalf = 0;
  int64_t mBucketQueries = 0;
};

struct Scenario
{
  const char* mName;
  std::function<int(std::mt19937&, const Fleet&)> mPickInstance;
  bool mDies = false;
  bool mCut = false;
};

struct Count
{
  int mWithinRate = 0; // would have been admitted by one bucket
  int mWronglyRefused = 0;
};

int
AnyInstance(std::mt19937& aRandom, const Fleet& aFleet)
{
  return static_cast<int>(aRandom() % static_cast<unsigned>(aFleet.mInstances));
}

// aOffered: tokens requested per second, as a multiple of the rate.
std::vector<Count>
Run(const Fleet& aFleet,
    const Scenario& aScenario,
    double aOffered,
    unsigned aSeed)
{
  std::mt19937 random(aSeed);
  TimePoint begun = TimePoint(Seconds(1000));
  SingleBucket singleBucket(aFleet, begun);
  std::vector<std::unique_ptr<Policy>> policies;
  policies.push_back(std::make_unique<StaticSplit>(aFleet, begun));
  policies.push_back(std::make_unique<Shares>(aFleet, begun));
  std::vector<Count> counts(policies.size());
  const double tokens = aFleet.mRate / 50; // 50 requests a second at the rate
  std::exponential_distribution<double> gap(aOffered * aFleet.mRate / tokens);
  std::uniform_real_distribution<double> size(0.2, 1.8);
  bool died = false;
  for (TimePoint now = begun; now < begun + kLength;) {
    now += Micros(static_cast<int64_t>(gap(random) * 1e6));
    bool partitioned = now >= begun + kFaultFrom && now < begun + kFaultTo;
    int at = aScenario.mPickInstance(random, aFleet);
    if (aScenario.mDies && now >= begun + kFaultFrom) {
      for (auto& policy : policies) {
        if (!died) {
          policy->Kill(0);
        }
      }
      died = true;
      at = at == 0 ? 1 : at; // the balancer sends its callers elsewhere
    }
    for (auto& policy : policies) {
      policy->Cut(aScenario.mCut && partitioned);
    }
    double cost = tokens * size(random);
    bool withinRate = singleBucket.Take(at, cost, now);
    for (size_t i = 0; i < policies.size(); ++i) {
      bool admitted = policies[i]->Take(at, cost, now);
      counts[i].mWithinRate += withinRate ? 1 : 0;
      counts[i].mWronglyRefused += withinRate && !admitted ? 1 : 0;
    }
  }
  return counts;
}

void
PrintTable(const char* aName, const Fleet& aFleet, double aOffered)
{
  const Scenario scenarios[] = {
    { "even load", AnyInstance },
    { "load at one instance", [](auto&, const Fleet&) { return 0; } },
    { "load at one zone",
      [](auto& aRandom, const Fleet& aSize) {
        return AnyInstance(aRandom, aSize) / aSize.mZones * aSize.mZones %
               aSize.mInstances;
      } },
    { "an instance dies", AnyInstance, true, false },
    { "zones cut from each other", AnyInstance, false, true },
  };
  std::printf("%s, offered %.0f%% of the rate\n", aName, aOffered * 100);
  std::printf("  %-28s %12s %12s\n", "scenario", "static split", "shares");
  for (const Scenario& scenario : scenarios) {
    int withinRate = 0;
    int wronglyRefused[2] = { 0, 0 };
    for (unsigned seed = 1; seed <= 5; ++seed) {
      std::vector<Count> counts = Run(aFleet, scenario, aOffered, seed);
      withinRate += counts[0].mWithinRate;
      wronglyRefused[0] += counts[0].mWronglyRefused;
      wronglyRefused[1] += counts[1].mWronglyRefused;
    }
    std::printf("  %-28s %11.2f%% %11.2f%%\n",
                scenario.mName,
                100.0 * wronglyRefused[0] / withinRate,
                100.0 * wronglyRefused[1] / withinRate);
  }
}

} // namespace

int
main()
{
  std::printf("requests refused although within the tenant's rate, as a share "
              "of those within it; 5 seeds of %lld s\n",
              static_cast<long long>(kLength.count()));
  Fleet today{ 8, 3, 1000, 5000 };
  Fleet later{ 350, 6, 20000, 100000 };
  PrintTable("8 instances, 3 zones, burst 5 s", today, 0.8);
  PrintTable("8 instances, 3 zones, burst 5 s", today, 1.5);
  PrintTable("350 instances, 6 zones, burst 5 s", later, 0.8);
  return 0;
}
