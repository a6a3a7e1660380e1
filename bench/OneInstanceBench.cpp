// Processor time of one entry instance, as a real process, for each request
// that comes on a connection of its own: what an instance bears that gets most
// new connections.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <unistd.h>

#include "platform/WireNames.h"
#include "support/EntryProcess.h"
#include "support/EntryTestFleet.h"

DEFINE_int32(seconds, 4, "duration of each rate");
DEFINE_string(program,
              CARAWAY_BIN_DIR "/carawayd-entry",
              "the entry daemon to run");

namespace {

using namespace caraway;

// Sends aRate requests a second, each on a new connection, and prints what they
// cost.
void
Measure(EntryTestFleet& aFleet,
        const EntryProcess& aProcess,
        const char* aName,
        const std::string& aPath,
        const std::vector<HttpField>& aFields,
        int aRate)
{
  std::vector<TestCallPtr> calls;
  Millis before = aProcess.ProcessorTime();
  TimePoint began = aFleet.mClock.Now();
  TimePoint until = began + Seconds(FLAGS_seconds);
  while (aFleet.mClock.Now() < until) {
    auto due = static_cast<size_t>(
      std::chrono::duration<double>(aFleet.mClock.Now() - began).count() *
      aRate);
    while (calls.size() < due) {
      calls.push_back(aFleet.Send(0,
                                  aPath,
                                  std::string(aName) + std::to_string(aRate) +
                                    "-" + std::to_string(calls.size()),
                                  aFields));
    }
    aFleet.RunFor(Millis(2));
  }
  aFleet.RunFor(Seconds(1));
  Millis used = aProcess.ProcessorTime() - before;
  size_t served = 0;
  for (const TestCallPtr& call : calls) {
    served += call->mComplete && call->mStatus == 200 ? 1 : 0;
  }
  double each = 1000.0 * static_cast<double>(used.count()) /
                static_cast<double>(calls.size());
  std::printf("%-8s %6d a second %6zu of %6zu served %8.0f us each, %5.0f a "
              "second on a quarter of a core\n",
              aName,
              aRate,
              served,
              calls.size(),
              each,
              250000 / each);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("measures one entry instance under new connections");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  EntryFleetOptions options;
  options.mOwn = false;
  options.mEngines = 4;
  EntryTestFleet fleet(options);
  auto folder = std::filesystem::temp_directory_path() /
                ("caraway-one-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  std::string settings = (folder / "i0.toml").string();
  std::ofstream(settings) << fleet.SettingsText(0);
  EntryProcess process(FLAGS_program, settings, (folder / "i0.log").string());
  process.Start();
  fleet.RunFor(Seconds(3));
  for (int rate : { 50, 200, 500 }) {
    Measure(fleet, process, "plain", "/safe/x", {}, rate);
  }
  for (int rate : { 50, 200, 600 }) {
    Measure(fleet,
            process,
            "stream",
            "/stream/stream",
            { { wire::kModel, "m0" }, { wire::kTokens, "100,50" } },
            rate);
  }
  std::filesystem::remove_all(folder);
  return 0;
}
