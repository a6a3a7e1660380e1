// GateBench: cold start times by request class when many models are requested
// at once.
//
// A zone is lost and its models are loaded elsewhere within two seconds, all
// from the store: a fifth for bulletins, half for chat, the rest for briefings.
// Compares the product's LoadGate with no gate, with first come first served,
// and with a gate that admits no urgent loads beyond the limit. Models have the
// users' sizes, the simulated store slows in proportion above its limit, and
// the clock is stepped.
#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <vector>

#include "decide/LoadGate.h"

namespace {

using namespace caraway;

constexpr Millis kStep{ 20 };
constexpr int kFullSpeed = 4;

struct Load
{
  std::string mId;
  RequestClass mClass = RequestClass::Interactive;
  TimePoint mRequestedAt{};
  double mLeft = 0; // remaining s at full speed
  bool mHasPermit = false;
  TimePoint mLastRequestAt{};
  Millis mPollAfter{ 0 };
  double mDuration = -1; // s; -1 while not ready
};

struct Policy
{
  const char* mName;
  bool mGate;
  bool mClasses;
  int mUrgentExtra;
};

std::vector<Load>
ColdLoads(int aModels, unsigned aSeed, TimePoint aStart)
{
  std::mt19937 random(aSeed);
  std::vector<Load> loads;
  for (int i = 0; i < aModels; ++i) {
    Load load;
    load.mId = std::to_string(i);
    load.mClass = i % 10 < 2   ? RequestClass::Urgent
                  : i % 10 < 7 ? RequestClass::Interactive
                               : RequestClass::Batch;
    load.mRequestedAt = aStart + Millis(random() % 2000);
    load.mLeft = 3.2 + 0.4 * static_cast<double>(random() % 23);
    loads.push_back(load);
  }
  std::shuffle(loads.begin(), loads.end(), random);
  return loads;
}

// Returns the highest number of gate requests within one second.
int
Run(const Policy& aPolicy, std::vector<Load>& aLoads, TimePoint aStart)
{
  std::map<Seconds, int> gateRequests;
  LoadGateParameters parameters;
  parameters.mUrgentExtra = aPolicy.mUrgentExtra;
  if (!aPolicy.mClasses) {
    parameters.mClassDelay = {};
  }
  LoadGate gate(parameters, aStart);
  size_t ready = 0;
  for (TimePoint now = aStart; ready < aLoads.size(); now += kStep) {
    int admitted = 0;
    for (Load& load : aLoads) {
      bool due = load.mDuration < 0 && now >= load.mRequestedAt &&
                 now - load.mLastRequestAt >= load.mPollAfter;
      if (due && aPolicy.mGate) {
        load.mLastRequestAt = now;
        LoadGateReply answer =
          LoadGateAcquire(gate, { load.mId, load.mClass, false }, now);
        load.mHasPermit = answer.mHasPermit;
        load.mPollAfter = answer.mPollAfter;
        ++gateRequests[std::chrono::duration_cast<Seconds>(now - aStart)];
      } else if (due) {
        load.mHasPermit = true;
      }
      admitted += load.mHasPermit ? 1 : 0;
    }
    double speed =
      std::min(1.0, static_cast<double>(kFullSpeed) / std::max(1, admitted));
    for (Load& load : aLoads) {
      if (!load.mHasPermit) {
        continue;
      }
      load.mLeft -= std::chrono::duration<double>(kStep).count() * speed;
      if (load.mLeft <= 0) {
        load.mHasPermit = false;
        load.mDuration =
          std::chrono::duration<double>(now - load.mRequestedAt).count();
        LoadGateRelease(gate, load.mId);
        ++ready;
      }
    }
  }
  int most = 0;
  for (const auto& second : gateRequests) {
    most = std::max(most, second.second);
  }
  return most;
}

void
Print(const Policy& aPolicy,
      int aModels,
      const std::vector<Load>& aLoads,
      int aGateRequests)
{
  std::printf("%-26s %6d", aPolicy.mName, aModels);
  for (int requestClass = 0; requestClass < kRequestClassCount;
       ++requestClass) {
    std::vector<double> times;
    for (const Load& load : aLoads) {
      if (static_cast<int>(load.mClass) == requestClass) {
        times.push_back(load.mDuration);
      }
    }
    std::sort(times.begin(), times.end());
    std::printf(
      "  %6.1f %6.1f", times[times.size() / 2], times[times.size() - 1]);
  }
  std::printf("  %6d\n", aGateRequests);
}

} // namespace

int
main()
{
  const Policy policies[] = { { "no gate", false, false, 0 },
                              { "first come, first served", true, false, 0 },
                              { "by class", true, true, 0 },
                              { "by class, urgent beyond", true, true, 2 } };
  TimePoint start = TimePoint(Seconds(1000));
  std::printf("%-26s %6s  %13s  %13s  %13s  %6s\n",
              "policy",
              "models",
              "urgent p50 max",
              "chat p50 max",
              "batch p50 max",
              "req/s");
  for (int models : { 10, 30, 100 }) {
    for (const Policy& policy : policies) {
      std::vector<Load> all;
      int gateRequests = 0;
      for (unsigned seed = 201; seed < 211; ++seed) {
        std::vector<Load> loads = ColdLoads(models, seed, start);
        gateRequests = std::max(gateRequests, Run(policy, loads, start));
        all.insert(all.end(), loads.begin(), loads.end());
      }
      Print(policy, models, all, gateRequests);
    }
  }
  return 0;
}
