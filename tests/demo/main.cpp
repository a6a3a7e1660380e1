// caraway-demo: demonstrates the complete request path with separate processes
// and prints one line per step. Exits with 0 only if every step succeeded.
#include <cstdio>
#include <cstdlib>
#include <future>
#include <thread>

#include <gflags/gflags.h>

#include "base/JsonText.h"
#include "support/Fleet.h"

DEFINE_bool(keep, false, "leave it running until Enter is pressed");

namespace {

using namespace caraway;

int sFailed = 0;

void
ReportStep(bool aDone, const std::string& aText)
{
  std::printf("%s %s\n", aDone ? "  ok  " : "FAILED", aText.c_str());
  std::fflush(stdout);
  sFailed += aDone ? 0 : 1;
}

std::string
Content(const HttpReply& aReply)
{
  Json::Value json = JsonParseOrEmpty(aReply.mBody);
  return json["choices"][0]["message"]["content"].asString();
}

int64_t
MillisOf(const std::function<void()>& aWork)
{
  auto begun = std::chrono::steady_clock::now();
  aWork();
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            begun)
    .count();
}

void
ColdAndWarmStart(Fleet& aFleet)
{
  std::string key = aFleet.mKeys["acme"];
  std::vector<std::future<HttpReply>> burst;
  int64_t cold = MillisOf([&] {
    for (size_t i = 0; i < 6; ++i) {
      burst.push_back(std::async(std::launch::async, [&, i] {
        return aFleet.Chat(i % 2, key, "chat-m0", 8);
      }));
    }
    for (auto& reply : burst) {
      reply.wait();
    }
  });
  int complete = 0;
  for (auto& reply : burst) {
    HttpReply got = reply.get();
    complete += Content(got) == "w0 w1 w2 w3 w4 w5 w6 w7 " ? 1 : 0;
  }
  ReportStep(complete == 6,
             "a burst of 6 first requests at 2 instances: " +
               std::to_string(complete) + " complete answers");
  ReportStep(aFleet.EngineAudit("loads") == 1,
             "loads for this burst: " +
               std::to_string(aFleet.EngineAudit("loads")));
  int64_t warm = MillisOf([&] { aFleet.Chat(1, key, "chat-m0", 8); });
  ReportStep(warm < cold,
             "cold start " + std::to_string(cold) + " ms, warm " +
               std::to_string(warm) + " ms for the complete answer");
  HttpReply stream = aFleet.Chat(0, key, "chat-m0", 4, true);
  (void)stream;
}

void
Orders(Fleet& aFleet)
{
  std::string key = aFleet.mKeys["acme"];
  HttpReply first = aFleet.OrderCall(0, key, "closure-17", "close km 12");
  HttpReply second = aFleet.OrderCall(2, key, "closure-17", "close km 12");
  ReportStep(first.Ok() && second.Ok() && first.mBody == second.mBody,
             "a closure order sent twice, to two zones: the same answer");
  ReportStep(aFleet.Runs("close km 12") == 1,
             "runs of this order at the service: " +
               std::to_string(aFleet.Runs("close km 12")));
  HttpReply withoutKey = aFleet.OrderCall(0, key, "", "close km 13");
  ReportStep(withoutKey.mStatus == 400 && aFleet.Runs("close km 13") == 0,
             "the same order without an Idempotency-Key: refused, not run");
}

void
Operators(Fleet& aFleet)
{
  std::string admin = aFleet.mInstances[0]->Address("admin");
  setenv("CARAWAY_ADMIN", admin.c_str(), 1);
  setenv("CARAWAY_ADMIN_KEY", aFleet.mAdminKey.c_str(), 1);
  std::string ctl = std::string(CARAWAY_BIN_DIR) + "/carawayctl ";
  auto run = [&](const std::string& aArguments) {
    std::printf("      $ carawayctl %s\n", aArguments.c_str());
    std::fflush(stdout);
    return std::system((ctl + aArguments).c_str()) == 0;
  };
  bool changed = run("set profile chat-m0 max_tokens=3");
  ReportStep(
    changed && aFleet.AwaitRevision(2, Seconds(9)),
    "an operator changes a profile: revision 2 in force on every instance");
  HttpReply reply = aFleet.Chat(2, aFleet.mKeys["acme"], "chat-m0", 50);
  ReportStep(Content(reply) == "w0 w1 w2 ",
             "the change is in effect: answers have 3 tokens");
  bool withdrawn = run("withdraw key-acme");
  aFleet.AwaitRevision(3, Seconds(9));
  HttpReply refused = aFleet.Chat(2, aFleet.mKeys["acme"], "chat-m0", 5);
  ReportStep(withdrawn && refused.mStatus == 401, "a withdrawn key is refused");
  ReportStep(run("status") && run("history"), "status and history");
}

void
Histograms(Fleet& aFleet)
{
  std::printf(
    "      sums and counts of tenant acme's cold start times and times to the "
    "complete answer (instance i0):\n");
  std::string text = aFleet.Metrics(0);
  size_t at = 0;
  while (at < text.size()) {
    size_t end = text.find('\n', at);
    std::string line = text.substr(at, end - at);
    bool shown = line.find("acme") != std::string::npos &&
                 (line.find("cold_start") != std::string::npos ||
                  line.find("whole") != std::string::npos) &&
                 line.find("bucket") == std::string::npos;
    if (shown) {
      std::printf("        %s\n", line.c_str());
    }
    at = end + 1;
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  FleetPlan plan;
  Fleet fleet(plan);
  std::printf("3 instances in 2 zones, 2 engines, 2 services, a weight store "
              "and the platform, each as its own process\n");
  ColdAndWarmStart(fleet);
  Orders(fleet);
  Operators(fleet);
  Histograms(fleet);
  if (FLAGS_keep) {
    std::printf("still running. Callers: http://%s  key %s\n"
                "operators: carawayctl --admin %s  (CARAWAY_ADMIN_KEY=%s)\n"
                "press Enter to end\n",
                fleet.mInstances[0]->Address("caller").c_str(),
                fleet.mKeys["globex"].c_str(),
                fleet.mInstances[0]->Address("admin").c_str(),
                fleet.mAdminKey.c_str());
    std::getchar();
  }
  std::printf("%s\n",
              sFailed == 0 ? "all steps succeeded" : "some steps FAILED");
  return sFailed == 0 ? 0 : 1;
}
