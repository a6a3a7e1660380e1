// SettingsWatch.h: what may change in the settings while the process runs.
//
// The file is read again on a signal, and when it looks different: it may be
// replaced without one. What it says about times and budgets holds from then
// on; names and addresses need a new process. A file that can't be read, or
// lacks a field, changes nothing.
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
  // Gives nothing, with one line for what is wrong, when a file is unusable.
  using Reader =
    std::function<std::optional<EntrySettings>(const std::string& aPath,
                                               std::string& aWrong)>;

  SettingsWatch(EntryState& aState, std::string aPath, Reader aReader);

  // Looks at the file now and then, from now on.
  void Start();
  void Reload(const char* aWhy);
  // Reads it again if it looks different.
  void ReloadIfChanged();

private:
  using Look = std::pair<int64_t, int64_t>; // time of change, bytes
  Look FileStamp() const;
  void Apply(const EntrySettings& aSettings);

  EntryState& mState;
  std::string mPath;
  Reader mReader;
  Look mSeen;
};

} // namespace caraway

#endif
