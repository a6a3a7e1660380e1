// Reload of settings while an instance runs.

#include <gtest/gtest.h>

#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sys/stat.h>

#include "caraway/BootClock.h"
#include "entry/SettingsWatch.h"
#include "support/ScratchFolder.h"

namespace caraway {

namespace {

// Reads a file that holds only the grace time in seconds.
std::optional<EntrySettings>
ReadGrace(const std::string& aPath, std::string& aError)
{
  std::ifstream file(aPath);
  int64_t seconds = 0;
  if (!(file >> seconds)) {
    aError = "not a number";
    return std::nullopt;
  }
  EntrySettings settings;
  settings.mGrace = Seconds(seconds);
  return settings;
}

void
Write(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath) << aText;
}

} // namespace

// The file changes without a signal and then becomes invalid: the new value
// takes effect within about a second, and the invalid file changes nothing.
TEST(SettingsWatch, ChangeWithoutSignalIsAppliedAndInvalidFileIsNot)
{
  ScratchFolder folder;
  std::string path = folder.File("settings-watch.txt");
  Write(path, "8");
  BootClock clock;
  EntryState state(clock, EntrySettings(), -1);
  SettingsWatch watch(state, path, ReadGrace);
  watch.Start();
  auto runFor = [&](Millis aTime) {
    TimePoint until = clock.Now() + aTime;
    while (clock.Now() < until) {
      state.mReactor.RunPass(Millis(20));
    }
  };
  Write(path, "12");
  runFor(Millis(1300));
  EXPECT_EQ(Seconds(12), state.mSettings.mGrace);
  Write(path, "nonsense");
  runFor(Millis(1300));
  EXPECT_EQ(Seconds(12), state.mSettings.mGrace);
  EXPECT_NE(std::string::npos, state.mLog.BufferedText().find("not a number"));
  std::remove(path.c_str());
}

// Guards against a shutdown with an outdated grace time: the process would be
// killed before its last answers are sent.
TEST(SettingsWatch, ChangeIsAppliedAtOnceByReloadIfChanged)
{
  ScratchFolder folder;
  std::string path = folder.File("settings-watch-now.txt");
  Write(path, "12");
  BootClock clock;
  EntryState state(clock, EntrySettings(), -1);
  SettingsWatch watch(state, path, ReadGrace);
  watch.Start();
  Write(path, "4 ");
  watch.ReloadIfChanged();
  EXPECT_EQ(Seconds(4), state.mSettings.mGrace);
}

// Guards against a change that is never read: the file is rewritten in place
// within the same tick of the file system's clock as the last read, so that its
// time and size stay the same.
TEST(SettingsWatch, RewriteWithinOneTickIsApplied)
{
  ScratchFolder folder;
  std::string path = folder.File("settings-watch-tick.txt");
  Write(path, "12");
  BootClock clock;
  EntryState state(clock, EntrySettings(), -1);
  SettingsWatch watch(state, path, ReadGrace);
  watch.Reload("signal");
  ASSERT_EQ(Seconds(12), state.mSettings.mGrace);
  struct stat file = {};
  ASSERT_EQ(0, stat(path.c_str(), &file));
  Write(path, "14");
  timespec times[] = { file.st_atim, file.st_mtim };
  ASSERT_EQ(0, utimensat(AT_FDCWD, path.c_str(), times, 0));
  watch.ReloadIfChanged();
  EXPECT_EQ(Seconds(14), state.mSettings.mGrace);
}

// Guards against a change between the first read of the file, before the
// instance starts, and the first check.
TEST(SettingsWatch, ChangeDuringTheStartIsApplied)
{
  ScratchFolder folder;
  std::string path = folder.File("settings-watch-start.txt");
  Write(path, "12"); // the instance has read another value
  BootClock clock;
  EntryState state(clock, EntrySettings(), -1);
  SettingsWatch watch(state, path, ReadGrace);
  watch.ReloadIfChanged();
  EXPECT_EQ(Seconds(12), state.mSettings.mGrace);
}

} // namespace caraway
