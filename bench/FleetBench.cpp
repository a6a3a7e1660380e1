// FleetBench: cost of real processes, idle and per unit of work.
//
// Takes processor time from /proc/PID/stat, memory from /proc/PID/statm, bytes
// from the loopback interface (TCP/IP headers included, all bytes of all
// processes), and calls from the platform stand-in. Prints costs per unit;
// docs/CAPACITY.md evaluates them.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>
#include <thread>
#include <unistd.h>

#include "base/JsonText.h"
#include "peer/PeerClient.h"
#include "support/Fleet.h"

DEFINE_string(sizes, "3,6,12,24,48", "numbers of instances for the idle costs");
DEFINE_int32(rest_s, 6, "seconds of idle measurement per size");

namespace {

using namespace caraway;

double
CpuSeconds(pid_t aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/stat");
  std::string text;
  std::getline(in, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string word;
  double ticks = 0;
  for (int i = 3; i <= 15 && fields >> word; ++i) {
    ticks += i >= 14 ? std::stod(word) : 0;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
ResidentMb(pid_t aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double
LoopbackBytes()
{
  std::ifstream in("/proc/net/dev");
  std::string line;
  while (std::getline(in, line)) {
    size_t at = line.find("lo:");
    if (at != std::string::npos) {
      return std::stod(line.substr(at + 3));
    }
  }
  return 0;
}

double
AllCpu(Fleet& aFleet)
{
  double sum = 0;
  for (auto& instance : aFleet.mInstances) {
    sum += CpuSeconds(instance->Pid());
  }
  return sum;
}

double
SumMetric(Fleet& aFleet, const char* aName)
{
  double sum = 0;
  for (size_t i = 0; i < aFleet.mInstances.size(); ++i) {
    sum += aFleet.Metric(i, aName);
  }
  return sum;
}

double
Counter(const Json::Value& aAfter, const Json::Value& aBefore, const char* aOp)
{
  return aAfter[aOp].asDouble() - aBefore[aOp].asDouble();
}

void
MeasureIdle(int aInstances)
{
  FleetPlan plan;
  plan.mInstances = { (aInstances + 1) / 2, aInstances / 2 };
  Fleet fleet(plan);
  double n = aInstances;
  double seconds = FLAGS_rest_s;
  std::this_thread::sleep_for(Seconds(2));
  Json::Value before = fleet.PlatformCounters();
  double cpu = AllCpu(fleet);
  double bytes = LoopbackBytes();
  double calls = SumMetric(fleet, "caraway_peer_calls_total");
  bytes = LoopbackBytes();
  std::this_thread::sleep_for(Seconds(FLAGS_rest_s));
  double moved = LoopbackBytes() - bytes;
  double used = AllCpu(fleet) - cpu;
  double peerCalls = SumMetric(fleet, "caraway_peer_calls_total") - calls;
  Json::Value after = fleet.PlatformCounters();
  double memory = 0;
  for (auto& instance : fleet.mInstances) {
    memory = std::max(memory, ResidentMb(instance->Pid()));
  }
  std::printf("%9d %8.2f%% %9.1f %11.2f %11.2f %9.2f %9.2f %9.2f %9.2f\n",
              aInstances,
              100 * used / seconds / n,
              memory,
              moved / seconds / n / 1000,
              peerCalls / seconds / n,
              Counter(after, before, "reads") / seconds / n,
              Counter(after, before, "lists") / seconds / n,
              Counter(after, before, "writes") / seconds,
              Counter(after, before, "watches") / seconds / n);
  std::fflush(stdout);
}

struct Cost
{
  double mCpu;
  double mBytes;
  double mPeerCalls;
  Json::Value mPlatform;
};

Cost
ReadCost(Fleet& aFleet)
{
  return { AllCpu(aFleet),
           LoopbackBytes(),
           SumMetric(aFleet, "caraway_peer_calls_total"),
           aFleet.PlatformCounters() };
}

void
PrintCost(Fleet& aFleet, const char* aWhat, const Cost& aBefore, double aCount)
{
  Cost after = ReadCost(aFleet);
  std::printf("%-34s %9.2f %9.2f %9.2f %7.2f %7.2f %7.2f\n",
              aWhat,
              1000 * (after.mCpu - aBefore.mCpu) / aCount,
              (after.mBytes - aBefore.mBytes) / aCount / 1000,
              (after.mPeerCalls - aBefore.mPeerCalls) / aCount,
              Counter(after.mPlatform, aBefore.mPlatform, "reads") / aCount,
              Counter(after.mPlatform, aBefore.mPlatform, "writes") / aCount,
              Counter(after.mPlatform, aBefore.mPlatform, "lists") / aCount);
  std::fflush(stdout);
}

double
MillisOf(const std::function<void()>& aWork)
{
  auto begun = std::chrono::steady_clock::now();
  aWork();
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - begun)
    .count();
}

void
PrintQuantiles(const char* aWhat, std::vector<double> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  auto quantile = [&](double aFraction) {
    return aTimes[static_cast<size_t>(aFraction *
                                      static_cast<double>(aTimes.size() - 1))];
  };
  std::printf("%-34s p50 %.2f ms, p95 %.2f ms, p99 %.2f ms\n",
              aWhat,
              quantile(0.5),
              quantile(0.95),
              quantile(0.99));
}

void
MeasureWork()
{
  FleetPlan plan;
  plan.mInstances = { 3, 3 };
  plan.mModels = 8;
  plan.mMemory = 1000;
  plan.mEngineFlags = { "--token_ms=1" };
  plan.mRate = 1e9;
  plan.mBurst = 1e9;
  Fleet fleet(plan);
  std::string key = fleet.mKeys["acme"];
  fleet.Chat(0, key, "chat-m0", 1);
  fleet.Chat(3, key, "chat-m0", 1);
  std::printf("\nper unit of work, 6 instances in 2 zones; idle cost "
              "included\n%-34s %9s %9s %9s %7s %7s %7s\n",
              "work",
              "cpu ms",
              "KB moved",
              "peer",
              "reads",
              "writes",
              "lists");
  const int requests = 400;
  Cost before = ReadCost(fleet);
  std::vector<double> times;
  for (int i = 0; i < requests; ++i) {
    times.push_back(MillisOf(
      [&] { fleet.Chat(static_cast<size_t>(i % 6), key, "chat-m0", 1); }));
  }
  PrintCost(fleet, "warm request of 1 token", before, requests);
  before = ReadCost(fleet);
  const int tokens = 200;
  for (int i = 0; i < 10; ++i) {
    fleet.Chat(static_cast<size_t>(i % 6), key, "chat-m0", tokens, true);
  }
  PrintCost(fleet, "streamed token", before, 10.0 * tokens);
  before = ReadCost(fleet);
  for (int i = 0; i < 100; ++i) {
    std::string number = std::to_string(i);
    fleet.OrderCall(static_cast<size_t>(i % 6), key, number, number);
  }
  PrintCost(fleet, "non-repeatable order", before, 100);
  before = ReadCost(fleet);
  for (int i = 1; i < 8; ++i) {
    fleet.Chat(0, key, "chat-m" + std::to_string(i), 1);
  }
  PrintCost(fleet, "load of a cold model", before, 7);
  before = ReadCost(fleet);
  PeerClient peer("0123456789abcdef", "bench/bench");
  for (int i = 0; i < 1000; ++i) {
    Outcome([&] {
      return peer.Call(fleet.mInstances[0]->Address("peer"),
                       "beat",
                       Json::Value(Json::objectValue),
                       Seconds(1));
    });
  }
  PrintCost(fleet, "peer call, server side", before, 1000);
  before = ReadCost(fleet);
  std::vector<double> inForce;
  for (int i = 0; i < 10; ++i) {
    inForce.push_back(MillisOf([&] {
      int64_t revision = fleet.Configure([&](Json::Value& aConfig) {
        aConfig["profiles"][0]["max_tokens"] = 10 + i;
      });
      fleet.AwaitRevision(revision, Seconds(9));
    }));
  }
  PrintCost(fleet, "configuration change", before, 10);
  std::printf("\n");
  PrintQuantiles("warm request of 1 token", times);
  std::vector<double> direct;
  Json::Value body;
  body["request_id"] = "direct";
  body["model"] = "m0";
  body["version"] = "1";
  body["max_tokens"] = 1;
  for (int i = 0; i < requests; ++i) {
    direct.push_back(MillisOf([&] {
      fleet.Call(fleet.mEngines[0]->Address(), "POST", "/generate", body);
    }));
  }
  PrintQuantiles("the same, directly at the engine", direct);
  PrintQuantiles("configuration change in force", inForce);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::printf("idle, per instance and second (writes: whole fleet)\n"
              "%9s %9s %9s %11s %11s %9s %9s %9s %9s\n",
              "instances",
              "cpu",
              "MB",
              "KB moved",
              "peer calls",
              "reads",
              "lists",
              "writes",
              "watches");
  std::stringstream sizes(FLAGS_sizes);
  std::string size;
  while (std::getline(sizes, size, ',')) {
    MeasureIdle(std::stoi(size));
  }
  MeasureWork();
  return 0;
}
