#include "entry/SettingsWatch.h"

#include <sys/stat.h>

namespace caraway {

namespace {

// A change without a signal takes effect within a second, which is also the
// time for which an instance still receives requests after its shutdown has
// started.
constexpr Millis kLook{ 1000 };

constexpr int64_t kNanos = 1000000000;

} // namespace

SettingsWatch::SettingsWatch(EntryState& aState,
                             std::string aPath,
                             Reader aReader)
  : mState(aState)
  , mPath(std::move(aPath))
  , mReader(std::move(aReader))
  , mSeen(FileStamp())
{
}

void
SettingsWatch::Start()
{
  mState.mReactor.Every(kLook, [this] { ReloadIfChanged(); });
}

void
SettingsWatch::ReloadIfChanged()
{
  if (FileStamp() != mSeen) {
    Reload("file changed");
  }
}

SettingsWatch::Look
SettingsWatch::FileStamp() const
{
  struct stat file = {};
  if (stat(mPath.c_str(), &file) != 0) {
    return { 0, 0 };
  }
  return { file.st_mtim.tv_sec * kNanos + file.st_mtim.tv_nsec, file.st_size };
}

void
SettingsWatch::Reload(const char* aWhy)
{
  mSeen = FileStamp();
  std::string wrong;
  auto settings = mReader(mPath, wrong);
  mState.mLog.Line("settings_reloaded")
    .Text("why", aWhy)
    .Flag("good", settings.has_value())
    .Text("wrong", wrong);
  if (settings) {
    Apply(*settings);
  }
}

void
SettingsWatch::Apply(const EntrySettings& aSettings)
{
  EntrySettings& mine = mState.mSettings;
  mine.mGrace = aSettings.mGrace;
  mine.mServerHeartbeatInterval = aSettings.mServerHeartbeatInterval;
  mState.mRepeats.SetLimits(
    { aSettings.mRetryRatio, aSettings.mRetrySlack, aSettings.mRetryWindow });
}

} // namespace caraway
