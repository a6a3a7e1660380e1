// FailureBench: cost of failures, and time to recovery.
//
// Real processes in two zones, one platform stand-in whose calls are counted.
// After each event it measures how long until every share slot of every zone
// can be spent again and every instance is ready, the highest number of
// platform calls within one second meanwhile, what callers were answered in
// this time, and how many loads it took. docs/CAPACITY.md evaluates the
// numbers.
#include <atomic>
#include <cstdio>
#include <gflags/gflags.h>
#include <thread>

#include "BenchCallers.h"
#include "support/Fleet.h"

DEFINE_int32(instances, 24, "instances over both zones; 14 or more");
DEFINE_int32(outage_s, 10, "duration of the platform's outage, in s");
DEFINE_int32(callers, 16, "concurrent callers");

namespace {

using namespace caraway;

// Measures the highest number of platform calls within one second, by polling.
class CallsMeter
{
public:
  explicit CallsMeter(Fleet& aFleet)
    : mFleet(aFleet)
    , mThread([this] { Run(); })
  {
  }
  ~CallsMeter() { Stop(); }
  void Stop()
  {
    mEnding = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  double MaxCalls() const { return mMaxCalls; }
  double MaxWrites() const { return mMaxWrites; }

private:
  static constexpr size_t kPollsPerSecond = 4;

  void Run()
  {
    std::vector<std::pair<double, double>> samples; // calls, writes
    while (!mEnding) {
      Json::Value now = mFleet.PlatformCounters();
      double calls = 0;
      for (const char* op : { "reads", "lists", "writes", "watches" }) {
        calls += now[op].asDouble();
      }
      samples.emplace_back(calls, now["writes"].asDouble());
      if (samples.size() > kPollsPerSecond) {
        auto& before = samples[samples.size() - 1 - kPollsPerSecond];
        mMaxCalls = std::max(mMaxCalls, calls - before.first);
        mMaxWrites =
          std::max(mMaxWrites, samples.back().second - before.second);
      }
      std::this_thread::sleep_for(Millis(1000 / kPollsPerSecond));
    }
  }

  Fleet& mFleet;
  std::atomic<bool> mEnding{ false };
  double mMaxCalls = 0;
  double mMaxWrites = 0;
  std::thread mThread;
};

bool
Running(Fleet& aFleet, size_t aInstance)
{
  return aFleet.mInstances[aInstance] &&
         aFleet.mInstances[aInstance]->Running();
}

// Number of share slots that can be spent, over all zones.
int
SpendableSlots(Fleet& aFleet)
{
  int slots = 0;
  for (size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    if (Running(aFleet, i)) {
      slots += aFleet.Status(i)["share_slots"].asInt();
    }
  }
  return slots;
}

bool
AllReady(Fleet& aFleet)
{
  for (size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    if (Running(aFleet, i) &&
        !aFleet.Call(aFleet.mInstances[i]->Address("admin"), "GET", "/readyz")
           .Ok()) {
      return false;
    }
  }
  return true;
}

void
PrintFailures(const BenchCounts& aCounts)
{
  for (const auto& failure : aCounts.mFailureKinds) {
    std::printf("    %d: %s\n", failure.second, failure.first.c_str());
  }
}

void
MeasureEvent(Fleet& aFleet,
             BenchCallers& aCallers,
             const char* aName,
             const std::function<void()>& aEvent)
{
  constexpr int kSlotsPerZone = 16;
  int all = kSlotsPerZone * static_cast<int>(aFleet.mPlan.mZones.size());
  CallsMeter meter(aFleet);
  std::this_thread::sleep_for(Seconds(2));
  aCallers.Take();
  int loads = aFleet.EngineAudit("loads");
  aEvent();

  auto begun = std::chrono::steady_clock::now();
  bool recovered = Eventually(Seconds(20), [&] {
    return AllReady(aFleet) && SpendableSlots(aFleet) == all;
  });
  double seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
      .count();
  std::this_thread::sleep_for(Seconds(4));
  meter.Stop();
  BenchCounts counts = aCallers.Take();
  std::printf("%-36s %6s %8.1f %6.0f %6.0f %9d %8d %5d %8.1f %6d\n",
              aName,
              recovered ? "yes" : "NO",
              seconds,
              meter.MaxCalls(),
              meter.MaxWrites(),
              counts.mAnswered,
              counts.mRefused,
              counts.mCut,
              counts.mSlowest,
              aFleet.EngineAudit("loads") - loads);
  PrintFailures(counts);

  std::fflush(stdout);
}

void
Start(Fleet& aFleet, BenchCallers& aCallers, size_t aInstance)
{
  aFleet.mInstances[aInstance] = aFleet.StartInstance(aInstance);
  aFleet.Announce(aInstance, false);
  aCallers.SetAddress(aInstance,
                      aFleet.mInstances[aInstance]->Address("caller"));
}

void
Replace(Fleet& aFleet,
        BenchCallers& aCallers,
        const std::vector<size_t>& aWhich)
{
  for (size_t i : aWhich) {
    aFleet.Announce(i, true);
    aFleet.mInstances[i]->Kill();
  }
  for (size_t i : aWhich) {
    Start(aFleet, aCallers, i);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  FleetPlan plan;
  int half = FLAGS_instances / 2;
  plan.mInstances = { half, half };
  plan.mMemory = 200; // holds all models in each zone
  Fleet fleet(plan);
  std::vector<size_t> zone;
  std::vector<size_t> all;
  for (size_t i = 0; i < fleet.mInstances.size(); ++i) {
    all.push_back(i);
    if (i >= static_cast<size_t>(half)) {
      zone.push_back(i);
    }
  }
  std::printf(
    "%d instances in 2 zones; highest number of platform calls in one "
    "second\n%-36s %6s %8s %6s %6s %9s %8s %5s %8s %6s\n",
    FLAGS_instances,
    "event",
    "normal",
    "after s",
    "calls",
    "writes",
    "answered",
    "refused",
    "cut",
    "slowest",
    "loads");
  BenchCallers callers(fleet, static_cast<size_t>(FLAGS_callers));
  auto event = [&](const char* aName, const std::function<void()>& aEvent) {
    MeasureEvent(fleet, callers, aName, aEvent);
  };
  auto replace = [&](const std::vector<size_t>& aWhich) {
    Replace(fleet, callers, aWhich);
  };
  event("nothing", [] {});
  event("one dies and is replaced", [&] { replace({ 1 }); });
  event("one ends gracefully and is replaced", [&] {
    fleet.mInstances[2]->Terminate();
    fleet.mInstances[2]->Wait();
    fleet.Announce(2, true);
    Start(fleet, callers, 2);
  });
  event("a rack: four of a zone die", [&] { replace({ 3, 4, 5, 6 }); });
  event("a zone is replaced at once", [&] { replace(zone); });
  event("the platform's outage ends", [&] {
    fleet.PlatformFault("outage", "refuse");
    std::this_thread::sleep_for(Seconds(FLAGS_outage_s));
    fleet.PlatformFault("outage", "");
  });
  event("all are replaced at once", [&] { replace(all); });
  return 0;
}
