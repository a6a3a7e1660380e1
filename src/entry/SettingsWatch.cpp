#include "entry/SettingsWatch.h"

#include <sys/stat.h>

namespace caraway {

namespace {

// A change without a signal takes effect within a second. An instance receives
// requests for as long after its shutdown has started.
constexpr Millis kFileCheckInterval{ 1000 };

// Longer than a tick of the clock by which file systems stamp changes.
constexpr Millis kStampTick{ 100 };

} // namespace

SettingsWatch::SettingsWatch(EntryState& aState,
                             std::string aPath,
                             Reader aReader)
  : mState(aState)
  , mPath(std::move(aPath))
  , mReader(std::move(aReader))
  , mLastStamp(FileStamp())
{
}

void
SettingsWatch::Start()
{
  mState.mReactor.Every(kFileCheckInterval, [this] { ReloadIfChanged(); });
}

void
SettingsWatch::ReloadIfChanged()
{
  if (!(FileStamp() == mLastStamp)) {
    Reload("file changed");
  } else if (mMayHaveChanged) {
    Reload("file may have changed");
  }
}

SettingsWatch::Stamp
SettingsWatch::FileStamp() const
{
  struct stat file = {};
  if (stat(mPath.c_str(), &file) != 0) {
    return Stamp();
  }
  return { Seconds(file.st_mtim.tv_sec) +
             std::chrono::nanoseconds(file.st_mtim.tv_nsec),
           file.st_size,
           file.st_ino };
}

bool
SettingsWatch::ModifiedJustNow(const Stamp& aStamp) const
{
  auto now = mState.mReactor.SourceClock().WallNow().time_since_epoch();
  return std::chrono::abs(now - aStamp.mModified) < kStampTick;
}

void
SettingsWatch::Reload(const char* aWhy)
{
  // Before the read, so that a change during it has another stamp.
  mLastStamp = FileStamp();
  mMayHaveChanged = ModifiedJustNow(mLastStamp);
  std::string error;
  auto settings = mReader(mPath, error);
  mState.mLog.Line("settings_reloaded")
    .Text("why", aWhy)
    .Flag("good", settings.has_value())
    .Text("wrong", error);
  if (settings) {
    Apply(*settings);
  }
}

void
SettingsWatch::Apply(const EntrySettings& aSettings)
{
  EntrySettings& current = mState.mSettings;
  current.mGrace = aSettings.mGrace;
  current.mServerHeartbeatInterval = aSettings.mServerHeartbeatInterval;
  mState.mRetryBudget.SetLimits(
    { aSettings.mRetryRatio, aSettings.mRetrySlack, aSettings.mRetryWindow });
}

} // namespace caraway
