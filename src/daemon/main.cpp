// carawayd: runs one entry instance.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>

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

int
Serve(caraway::Settings aSettings)
{
  caraway::LogStart(aSettings.mId);
  // Blocked before any thread starts, so that only sigwait receives them.
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
  int signal = 0;
  do {
    sigwait(&signals, &signal);
  } while (signal == SIGHUP); // ignored: settings are read only at the start
  int code = instance.Shutdown() == 0 ? kExitOk : kExitCut;
  std::fflush(nullptr);
  // All requests are answered and leases handed over. The remaining threads are
  // in long calls (a watch lasts up to 10 s) whose results aren't needed.
  std::_Exit(code);
}

} // namespace

int
main(int aCount, char** aArguments)
{
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
