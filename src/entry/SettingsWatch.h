// SettingsWatch.h: reloads the settings that may change while the process runs.
//
// The file is read again on a signal and when its modification time or size has
// changed, as it may be replaced without a signal. Times and budgets take
// effect at once; names and addresses need a restart. A file that cannot be
// read or lacks a field changes nothing.
#ifndef caraway_entry_SettingsWatch_h
#define caraway_entry_SettingsWatch_h

#include <functional>
#include <optional>
#include <string>
#include <utility>

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
  // Reads the file again if its modification time or size has changed.
  void ReloadIfChanged();

private:
  using Stamp = std::pair<int64_t, int64_t>; // modification time in ns, size
  Stamp FileStamp() const;
  void Apply(const EntrySettings& aSettings);

  EntryState& mState;
  std::string mPath;
  Reader mReader;
  Stamp mLastStamp;
};

} // namespace caraway

#endif
