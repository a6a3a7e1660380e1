// ColdBench: cold starts and idle accelerator hours over a synthetic day.
//
// Compares the product's steps (LoadPlanChoose, PlacementStep, one load per
// model and zone) with a plain baseline (every router loads for itself at a
// random engine, fixed idle timer) on the same requests, with simulated engines
// and weight store and a stepped clock. The fleet has the size of the users'
// deployments; the durations of loads are assumptions and are printed.
#include <algorithm>
#include <cstdio>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "decide/LoadPlan.h"
#include "decide/PlacementStep.h"

namespace {

using namespace caraway;

constexpr int kZones = 3;
constexpr int kEngines = 20;
constexpr int kRouters = 8;
constexpr int kModels = 100;
constexpr int64_t kMemory = 80;         // units per engine
constexpr double kSecondsPerUnit = 0.4; // load from the store at full speed
constexpr int kFullSpeed = 4;           // concurrent loads at full speed
constexpr size_t kDiskCapacity = 10;    // checkpoints kept on an engine's disk
constexpr double kStep = 0.1;           // s
constexpr double kDay = 86400;          // s
constexpr double kMaxWait = 60;         // s; a request's wait for a load

struct Deployment
{
  const char* mName;
  double mActiveMean; // s; mean time a model stays in use
  double mIdleMean;   // s; mean time between uses, for the median model
};

struct Call
{
  double mAt;
  int mModel;
  int mRouter;
};

struct LoadedReplica
{
  double mReadyAt = -1; // -1 while loading
  double mUsed = 0;
  int mRouter = -1; // baseline only: the router that loaded it
};

struct Engine
{
  int mZone = 0;
  PlacementRecord mRecord;
  std::map<std::string, LoadedReplica> mLoaded; // by replica name
  std::list<std::string> mDisk;                 // newest first
};

struct Load
{
  size_t mEngine;
  std::string mReplica;
  double mLeft; // remaining s at full speed
  bool mStore;
};

struct Waiting
{
  double mSince;
  std::string mReplica;
  size_t mEngine;
};

struct Result
{
  std::vector<double> mCold; // s
  double mIdleHours = 0; // engine memory held by idle models, as engine hours
  int mRefused = 0;
  int mLoads = 0;
  int mCalls = 0;
};

std::string
ModelName(int aModel)
{
  return "m" + std::to_string(aModel);
}

int64_t
BytesOf(int aModel)
{
  return 8 + (aModel * 7) % 23;
}

std::vector<Call>
GenerateCalls(const Deployment& aDeployment, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::vector<Call> calls;
  auto exponential = [&](double aMean) {
    return std::exponential_distribution<double>(1 / aMean)(random);
  };
  for (int model = 0; model < kModels; ++model) {
    double rarity = 0.2 + 2.0 * model / kModels;
    double at = exponential(aDeployment.mIdleMean * rarity);
    while (at < kDay) {
      double end = at + exponential(aDeployment.mActiveMean);
      // The first requests of a burst arrive at several routers at once.
      for (int i = 0; i < 4; ++i) {
        int router = static_cast<int>(random() % kRouters);
        calls.push_back({ at + 0.05 * i, model, router });
      }
      for (at += exponential(8); at < end && at < kDay; at += exponential(8)) {
        calls.push_back({ at, model, static_cast<int>(random() % kRouters) });
      }
      at += exponential(aDeployment.mIdleMean * rarity);
    }
  }
  std::sort(
    calls.begin(), calls.end(), [](const Call& aLeft, const Call& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  return calls;
}

enum class Policy
{
  Baseline,
  EachZone, // one load per zone, without home zones
  HomeZone  // the product
};

const char*
PolicyName(Policy aPolicy)
{
  const char* names[] = { "baseline", "each zone", "home zone" };
  return names[static_cast<size_t>(aPolicy)];
}

class SimulatedDay
{
public:
  SimulatedDay(Policy aPolicy, double aIdleLimit, unsigned aSeed)
    : mIsProduct(aPolicy != Policy::Baseline)
    , mUsesHomeZones(aPolicy == Policy::HomeZone)
    , mIdleLimit(aIdleLimit)
    , mRandom(aSeed)
    , mEngines(kEngines)
  {
    for (int i = 0; i < kEngines; ++i) {
      mEngines[static_cast<size_t>(i)].mZone = i % kZones;
      mEngines[static_cast<size_t>(i)].mRecord.mMemory = kMemory;
      mEngines[static_cast<size_t>(i)].mRecord.mChecksFencing = true;
    }
  }

  Result Run(const std::vector<Call>& aCalls)
  {
    size_t next = 0;
    for (mNow = 0; mNow < kDay; mNow += kStep) {
      for (; next < aCalls.size() && aCalls[next].mAt <= mNow; ++next) {
        Serve(aCalls[next]);
      }
      AdvanceLoads();
      UnloadIdle();
    }
    mResult.mCalls = static_cast<int>(aCalls.size());
    return mResult;
  }

private:
  // In the baseline each router knows and uses only its own replicas.
  std::string ReplicaName(const Call& aCall) const
  {
    std::string name = ModelName(aCall.mModel);
    return mIsProduct ? name : name + "@" + std::to_string(aCall.mRouter);
  }

  void Serve(const Call& aCall)
  {
    int routerZone = aCall.mRouter % kZones;
    int zone = mUsesHomeZones ? aCall.mModel % kZones : routerZone;
    std::string replica = ReplicaName(aCall);
    for (size_t i = 0; i < mEngines.size(); ++i) {
      auto found = mEngines[i].mLoaded.find(replica);
      bool usable = found != mEngines[i].mLoaded.end() &&
                    (!mIsProduct || mEngines[i].mZone == zone ||
                     mEngines[i].mZone == routerZone);
      if (!usable) {
        continue;
      }
      if (found->second.mReadyAt < 0) {
        mWaiting.push_back({ mNow, replica, i });
      } else {
        found->second.mUsed = mNow;
      }
      return;
    }
    int engine = mIsProduct ? ChooseByProduct(zone, aCall.mModel)
                            : ChooseBaseline(zone, aCall.mModel);

    if (engine < 0) {
      ++mResult.mRefused;
      return;
    }
    Start(static_cast<size_t>(engine), replica, aCall.mModel);
    mWaiting.push_back({ mNow, replica, static_cast<size_t>(engine) });
  }

  EngineReport ReportOf(const Engine& aEngine) const
  {
    EngineReport report;
    report.mHighestFencingToken = aEngine.mRecord.mFencingToken;
    for (const auto& loaded : aEngine.mLoaded) {
      EngineReplica replica;
      replica.mName = loaded.first;
      replica.mReady = loaded.second.mReadyAt >= 0;
      replica.mIdle =
        Millis(static_cast<int64_t>((mNow - loaded.second.mUsed) * 1000));
      report.mReplicas.push_back(replica);
    }
    report.mCachedOnDisk = { aEngine.mDisk.begin(), aEngine.mDisk.end() };
    return report;
  }

  int ChooseByProduct(int aZone, int aModel)
  {
    std::vector<LoadCandidate> candidates(mEngines.size());
    for (size_t i = 0; i < mEngines.size(); ++i) {
      candidates[i].mRecord = mEngines[i].mRecord;
      candidates[i].mReport = ReportOf(mEngines[i]);
      candidates[i].mReachable = mEngines[i].mZone == aZone;
    }
    LoadPlan plan = LoadPlanChoose(
      candidates, ModelName(aModel), "", BytesOf(aModel), LoadPlanParameters());
    if (plan.mCandidate >= 0) {
      for (const PlacedReplica& replica : plan.mEvict) {
        Unload(mEngines[static_cast<size_t>(plan.mCandidate)], replica.mName);
      }
    }
    return plan.mCandidate;
  }

  int ChooseBaseline(int aZone, int aModel)
  {
    std::vector<int> zone;
    for (int i = 0; i < kEngines; ++i) {
      if (mEngines[static_cast<size_t>(i)].mZone == aZone) {
        zone.push_back(i);
      }
    }
    int chosen = zone[mRandom() % zone.size()];
    Engine& engine = mEngines[static_cast<size_t>(chosen)];
    while (PlacementFree(engine.mRecord) < BytesOf(aModel)) {
      auto oldest = engine.mLoaded.end();
      for (auto it = engine.mLoaded.begin(); it != engine.mLoaded.end(); ++it) {
        bool ready = it->second.mReadyAt >= 0;
        if (ready && (oldest == engine.mLoaded.end() ||
                      it->second.mUsed < oldest->second.mUsed)) {
          oldest = it;
        }
      }
      if (oldest == engine.mLoaded.end()) {
        return -1;
      }
      Unload(engine, oldest->first);
    }
    return chosen;
  }

  void Unload(Engine& aEngine, const std::string& aReplica)
  {
    PlacementDecideUnload(aEngine.mRecord, aReplica, "");
    aEngine.mLoaded.erase(aReplica);
    PlacementObserve(aEngine.mRecord, ReportOf(aEngine));
  }

  void Start(size_t aEngine, const std::string& aReplica, int aModel)
  {
    Engine& engine = mEngines[aEngine];
    PlacementLoad load;
    load.mName = aReplica;
    load.mBytes = BytesOf(aModel);
    load.mDecision = std::to_string(++mResult.mLoads);
    PlacementDecideLoad(engine.mRecord, load);
    engine.mLoaded[aReplica] = LoadedReplica();
    engine.mLoaded[aReplica].mUsed = mNow;
    std::string model = ModelName(aModel);
    auto disk = std::find(engine.mDisk.begin(), engine.mDisk.end(), model);
    bool cached = disk != engine.mDisk.end();
    double seconds = kSecondsPerUnit * static_cast<double>(load.mBytes);
    mLoads.push_back(
      { aEngine, aReplica, cached ? seconds * 0.4 : seconds, !cached });
    if (cached) {
      engine.mDisk.erase(disk);
    }
    engine.mDisk.push_front(model);
    if (engine.mDisk.size() > kDiskCapacity) {
      engine.mDisk.pop_back();
    }
  }

  void AdvanceLoads()
  {
    int store = 0;
    for (const Load& load : mLoads) {
      store += load.mStore ? 1 : 0;
    }
    double speed =
      std::min(1.0, static_cast<double>(kFullSpeed) / std::max(1, store));
    for (auto load = mLoads.begin(); load != mLoads.end();) {
      load->mLeft -= kStep * (load->mStore ? speed : 1.0);
      if (load->mLeft > 0) {
        ++load;
        continue;
      }
      Engine& engine = mEngines[load->mEngine];
      engine.mLoaded[load->mReplica].mReadyAt = mNow;
      engine.mLoaded[load->mReplica].mUsed = mNow;
      PlacementObserve(engine.mRecord, ReportOf(engine));
      load = mLoads.erase(load);
    }
    for (auto waiting = mWaiting.begin(); waiting != mWaiting.end();) {
      auto& loaded = mEngines[waiting->mEngine].mLoaded;
      auto found = loaded.find(waiting->mReplica);
      bool ready = found != loaded.end() && found->second.mReadyAt >= 0;
      bool timedOut = mNow - waiting->mSince > kMaxWait;
      if (ready) {
        mResult.mCold.push_back(mNow - waiting->mSince);
      }
      mResult.mRefused += !ready && timedOut ? 1 : 0;
      waiting =
        ready || timedOut ? mWaiting.erase(waiting) : std::next(waiting);
    }
  }

  void UnloadIdle()
  {
    for (Engine& engine : mEngines) {
      std::vector<std::string> idle;
      EngineReport report;
      report.mCachedOnDisk = { engine.mDisk.begin(), engine.mDisk.end() };
      for (const PlacedReplica& replica : engine.mRecord.mReplicas) {
        const LoadedReplica& loaded = engine.mLoaded[replica.mName];
        double idleSeconds = mNow - loaded.mUsed;
        if (loaded.mReadyAt < 0 || idleSeconds < 1) {
          continue;
        }
        mResult.mIdleHours +=
          kStep / 3600 * static_cast<double>(replica.mBytes) / kMemory;
        Millis base(static_cast<int64_t>(mIdleLimit * 1000));
        Millis limit = mIsProduct
                         ? LoadPlanIdleLimit(
                             report, replica.mName, base, LoadPlanParameters())
                         : base;
        if (idleSeconds * 1000 > static_cast<double>(limit.count())) {
          idle.push_back(replica.mName);
        }
      }
      for (const std::string& name : idle) {
        Unload(engine, name);
      }
    }
  }

  bool mIsProduct;
  bool mUsesHomeZones;
  double mIdleLimit;
  std::mt19937 mRandom;
  std::vector<Engine> mEngines;
  std::list<Load> mLoads;
  std::list<Waiting> mWaiting;
  Result mResult;
  double mNow = 0;
};

double
QuantileOf(std::vector<double> aTimes, double aFraction)
{
  std::sort(aTimes.begin(), aTimes.end());
  return aTimes.empty()
           ? 0
           : aTimes[static_cast<size_t>(
               aFraction * static_cast<double>(aTimes.size() - 1))];
}

} // namespace

int
main()
{
  const Deployment deployments[] = { { "Paso Blanco", 600, 5400 },
                                     { "Anga", 900, 3600 } };
  std::printf("a day, %d engines in %d zones, %d models, %d routers; a load "
              "takes %.1f to %.1f s at full speed, 0.4 of it from disk\n",
              kEngines,
              kZones,
              kModels,
              kRouters,
              kSecondsPerUnit * 8,
              kSecondsPerUnit * 30);
  std::printf("%-12s %-10s %5s %8s %8s %8s %8s %8s %11s %9s\n",
              "deployment",
              "policy",
              "seed",
              "loads",
              "waited",

              "p50 s",
              "p99 s",
              "p99.9 s",
              "idle hours",
              "refused");
  for (const Deployment& deployment : deployments) {
    for (unsigned seed : { 101u, 102u }) {
      std::vector<Call> calls = GenerateCalls(deployment, seed);
      for (Policy policy :
           { Policy::Baseline, Policy::EachZone, Policy::HomeZone }) {
        Result result = SimulatedDay(policy, 300, seed).Run(calls);
        std::printf(
          "%-12s %-10s %5u %8d %8zu %8.1f %8.1f %8.1f %11.1f %8.2f%%\n",
          deployment.mName,
          PolicyName(policy),
          seed,
          result.mLoads,
          result.mCold.size(),
          QuantileOf(result.mCold, 0.5),
          QuantileOf(result.mCold, 0.99),
          QuantileOf(result.mCold, 0.999),
          result.mIdleHours,
          100.0 * result.mRefused / result.mCalls);
        std::fflush(stdout);
      }
    }
  }
  return 0;
}
