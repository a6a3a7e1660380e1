// SettingsWatch.h: reloads the settings that may change while the process runs.
//
// The file is read again on a signal and when its modification time, size or
// inode has changed, as it may be replaced or rewritten without a signal. Times
// and budgets take effect at once; names and addresses need a restart. A file
// that cannot be read or lacks a field changes nothing.
#ifndef caraway_entry_SettingsWatch_h
#define caraway_entry_SettingsWatch_h

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "entry/EntryState.h"

namespace caraway {

class SettingsWatch
{
public:
  // For an unusable file, returns nothing and sets aError to one line.
  using Reader =
    std::function<std::optional<EntrySettings>(const std::string& aPath,
                                               std::string& aError)>;

  SettingsWatch(EntryState& aState, std::string aPath, Reader aReader);

  // Starts the periodic check of the file.
  void Start();
  void Reload(const char* aWhy);
  // Reads the file again if it has changed, or may have: a change within the
  // same tick of the file system's clock as the last read shows no difference.
  void ReloadIfChanged();

private:
  // What distinguishes one state of the file from another.
  struct Stamp
  {
    std::chrono::nanoseconds mModified{ 0 }; // time of day
    int64_t mBytes = 0;
    uint64_t mInode = 0;
    bool operator==(const Stamp& aOther) const
    {
      return mModified == aOther.mModified && mBytes == aOther.mBytes &&
             mInode == aOther.mInode;
    }
  };
  Stamp FileStamp() const;
  bool ModifiedJustNow(const Stamp& aStamp) const;
  void Apply(const EntrySettings& aSettings);

  EntryState& mState;
  std::string mPath;
  Reader mReader;
  Stamp mLastStamp;
  // Since the last read, without a new stamp. The caller has read the file
  // before this object exists.
  bool mMayHaveChanged = true;
};

} // namespace caraway

#endif
