// PlaceBench: processor time of placing a missing model, as a zone's lease
// holder does it, in a large fleet: 60 servers, 353 models with recorded
// demand, one instance.

#include <benchmark/benchmark.h>

#include "decide/DemandTracker.h"
#include "decide/PlacementPlan.h"

namespace caraway {

namespace {

const TimePoint kNow{ Seconds(1000) };

constexpr int kModels = 353;
constexpr int kServers = 60;

std::string
ModelName(int aIndex)
{
  return "model-" + std::to_string(aIndex);
}

struct BenchFleet
{
  BenchFleet()
  {
    mEngine.mMemoryMb = 230000;
    mEngine.mAdapterSlots = 8;
    for (int i = 0; i < kModels; ++i) {
      ModelWeights model;
      model.mMb = 72700;
      mEngine.mModels[ModelName(i)] = model;
      mDemand.Add(ModelName(i), 1.0 + i % 7, kNow);
    }
    for (int i = 0; i < kServers; ++i) {
      BackendEntry entry;
      entry.mId = "server-" + std::to_string(i);
      entry.mService = "e";
      entry.mZone = "zone-" + std::to_string(i % 4);
      entry.mSlots = 32;
      for (int k = 0; k < 3; ++k) {
        entry.mModels[ModelName((i * 3 + k) % kModels)];
      }
      for (int k = 0; k < 20; ++k) {
        entry.mOnDisk.insert(ModelName((i * 17 + k * 5) % kModels));
      }
      mServers.Put(entry, kNow);
      for (int k = 0; k < 6; ++k) {
        mServers.OnRequestBegan(
          entry.mId, ModelName((i * 3 + k % 3) % kModels), kNow);
      }
    }
  }

  PlacementFacts Facts() const
  {
    PlacementFacts facts;
    facts.mService = "e";
    facts.mZone = "zone-1";
    facts.mRates = mDemand.Rates(kNow);
    facts.mReplicas = CountReplicas(mServers);
    return facts;
  }

  EngineSpec mEngine;
  ServerView mServers;
  DemandTracker mDemand;
};

} // namespace

void
PlacementFactsOfAFleet(benchmark::State& aState)
{
  BenchFleet fleet;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(fleet.Facts());
  }
}
BENCHMARK(PlacementFactsOfAFleet);

void
ChoosePlaceInAFleet(benchmark::State& aState)
{
  BenchFleet fleet;
  PlacementFacts facts = fleet.Facts();
  int next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ChoosePlacement(
      fleet.mEngine, ModelName(next++ % kModels), fleet.mServers, facts));
  }
}
BENCHMARK(ChoosePlaceInAFleet);

void
ChooseServerInAFleet(benchmark::State& aState)
{
  BenchFleet fleet;
  std::mt19937 random(1);
  ServerRequirements requirements;
  requirements.mService = "e";
  requirements.mZone = "zone-1";
  int next = 0;
  for (auto _ : aState) {
    requirements.mModel = ModelName(next++ % 180);
    benchmark::DoNotOptimize(fleet.mServers.Choose(requirements, kNow, random));
  }
}
BENCHMARK(ChooseServerInAFleet);

} // namespace caraway

BENCHMARK_MAIN();
