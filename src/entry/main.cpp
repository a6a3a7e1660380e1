// carawayd-entry: an entry instance on the platform.

#include <Poco/Exception.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>
#include <malloc.h>
#include <unistd.h>

#include "caraway/BootClock.h"
#include "entry/EntryDaemon.h"
#include "entry/SettingsWatch.h"
#include "platform/SettingsFile.h"
#include "platform/WireNames.h"

DEFINE_string(settings,
              "",
              "settings file; default: the path that the platform sets");
DEFINE_bool(check_config, false, "check the settings file and exit");

namespace {

// Longest wait of one pass of the event loop; signals are checked between
// passes.
constexpr caraway::Millis kMaxWait{ 100 };

std::atomic<bool> sStopRequested{ false };
std::atomic<bool> sReloadRequested{ false };

void
OnSignal(int aSignal)
{
  (aSignal == SIGHUP ? sReloadRequested : sStopRequested) = true;
}

// Larger buffers are returned to the system when they are released. By default
// the limit rises to the largest one that was, and their memory stays with the
// process.
constexpr int kReturnedBytes = 128 * 1024;

std::string
SettingsPath()
{
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv(caraway::wire::kSettingsVariable);
  return path ? path : "";
}

bool
PrintErrors(const std::string& aPath,
            const caraway::wire::SettingsResult& aReading)
{
  for (const auto& error : aReading.mErrors) {
    std::fprintf(stderr,
                 "%s:%d: %s: expected %s\n",
                 aPath.c_str(),
                 error.mLine,
                 error.mField.c_str(),
                 error.mExpected.c_str());
  }
  return aReading.mErrors.empty();
}

void
SetSignals()
{
  struct sigaction action = {};
  action.sa_handler = OnSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

std::optional<caraway::EntrySettings>
ReloadSettings(const std::string& aPath, std::string& aError)
{
  auto reading = caraway::wire::ReadSettingsFile(aPath);
  if (reading.mErrors.empty()) {
    return reading.mSettings;
  }
  const auto& first = reading.mErrors.front();
  aError = first.mField + ": expected " + first.mExpected;
  return std::nullopt;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("serves callers on the platform");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  mallopt(M_MMAP_THRESHOLD, kReturnedBytes);
  std::string path = SettingsPath();
  auto reading = caraway::wire::ReadSettingsFile(path);
  bool good = PrintErrors(path, reading);
  if (FLAGS_check_config || !good) {
    return good ? 0 : 2;
  }
  SetSignals();
  caraway::BootClock clock;
  try {
    caraway::EntryDaemon daemon(clock, reading.mSettings, STDOUT_FILENO);
    caraway::SettingsWatch settings(daemon.State(), path, ReloadSettings);
    settings.Start();
    // A process that is stopped gets its signals only when it continues. When
    // they were sent isn't known, only the last time at which none had come.
    caraway::TimePoint lastChecked = clock.Now();
    while (!daemon.Gone()) {
      daemon.RunPass(kMaxWait);
      caraway::TimePoint checked = clock.Now();
      if (sReloadRequested.exchange(false)) {
        settings.Reload("signal");
      }
      if (sStopRequested.exchange(false)) {
        settings.ReloadIfChanged(); // the grace time may have changed
        daemon.Leave(lastChecked);
      }
      lastChecked = checked;
    }
  } catch (const Poco::Exception& error) {
    std::fprintf(stderr, "cannot start: %s\n", error.displayText().c_str());
    return 1;
  }
  return 0;
}
