// carawayd: runs one entry instance.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>
#include <malloc.h>

#include <Poco/Exception.h>

#include "base/JsonText.h"
#include "base/Log.h"
#include "daemon/Instance.h"

DEFINE_string(config, "", "settings file (TOML); see docs/OPERATORS.md");
DEFINE_bool(check_config, false, "check the settings file and exit");

namespace {

constexpr int kExitOk = 0;
constexpr int kExitCut = 1;
constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr int kExitUnreachable = 4;

// Larger buffers are returned to the system when they are released. By default
// the limit rises to the largest one that was, and their memory stays with the
// process.
constexpr int kReturnedBytes = 128 * 1024;

// The C library's heaps, which threads share. By default there are eight for
// each processor, and each keeps what its largest request took.
constexpr int kHeaps = 4;

// Waits until the process is told to stop. Returns the last time at which no
// signal had come: a process that is stopped by SIGSTOP gets its signals only
// when it continues, and its supervisor counts from when it sent them.
caraway::TimePoint
AwaitStop(const sigset_t& aSignals, const caraway::Clock& aClock)
{
  constexpr timespec kCheckInterval{ 0, 100 * 1000 * 1000 }; // 100 ms
  caraway::TimePoint lastChecked = aClock.Now();
  for (;;) {
    caraway::TimePoint checked = aClock.Now();
    int signal = sigtimedwait(&aSignals, nullptr, &kCheckInterval);
    // SIGHUP is ignored: settings are read only at the start.
    if (signal == SIGTERM || signal == SIGINT) {
      return lastChecked;
    }
    lastChecked = checked;
  }
}

int
Serve(caraway::Settings aSettings)
{
  caraway::LogStart(aSettings.mId);
  // Blocked before any thread starts, so that only AwaitStop receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  caraway::Instance instance(std::move(aSettings));
  try {
    instance.Start();
  } catch (const Poco::Exception& error) {
    std::fprintf(
      stderr, "carawayd: can't listen: %s\n", error.displayText().c_str());
    return kExitUnreachable;
  }
  std::printf("%s\n", caraway::JsonWrite(instance.Addresses()).c_str());
  std::fflush(stdout);
  caraway::TimePoint signalledAt = AwaitStop(signals, instance.SourceClock());
  int code = instance.Shutdown(signalledAt) == 0 ? kExitOk : kExitCut;
  std::fflush(nullptr);
  // All requests are answered and leases handed over. The remaining threads are
  // in long calls (a watch lasts up to 10 s) whose results aren't needed.
  std::_Exit(code);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  mallopt(M_MMAP_THRESHOLD, kReturnedBytes);
  mallopt(M_ARENA_MAX, kHeaps);
  gflags::SetUsageMessage(
    "serves requests for rarely used models.\n"
    "  carawayd --config FILE.toml                 run\n"
    "  carawayd --config FILE.toml --check_config  check the file and exit\n"
    "Prints its addresses as one JSON line once it serves. Exit codes: 0 "
    "stopped by a signal with no request cut off, 1 requests were cut off, 2 "
    "usage, 3 settings refused, 4 an address can't be bound.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_config.empty() || aCount > 1) {
    std::fprintf(stderr,
                 "carawayd: expected --config FILE.toml (see --help)\n");
    return kExitUsage;
  }
  auto settings =
    caraway::Outcome([] { return caraway::SettingsRead(FLAGS_config); });
  if (auto* failure = std::get_if<caraway::Failure>(&settings)) {
    std::fprintf(stderr, "carawayd: %s\n", failure->mDetail.c_str());
    return kExitRefused;
  }
  if (FLAGS_check_config) {
    std::printf("%s: fine\n", FLAGS_config.c_str());
    return kExitOk;
  }
  return Serve(std::get<caraway::Settings>(std::move(settings)));
}
