// BackendEntry.h: a server's own entry in the list of servers.
#ifndef caraway_decide_BackendEntry_h
#define caraway_decide_BackendEntry_h

#include <map>
#include <optional>
#include <set>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// Loaded adapters, by loaded model.
using HeldModels = std::map<std::string, std::set<std::string>>;

struct BackendEntry
{
  std::string mId;
  std::string mService;
  std::string mAddress; // ip:port
  std::string mZone;
  int mSlots = 1;
  bool mDraining = false;
  int64_t mStartTime = 0; // Unix milliseconds; a restart changes it
  int64_t mRevision = 0;  // of the entry in the store
  // Since mStartTime, by this machine's wall clock; at most what is known.
  Millis mRunningFor = Millis::max();
  // How much longer the server stays cold, as of when the entry was written;
  // nothing = not told.
  std::optional<Millis> mColdLeft;
  bool mColdLeftUnreadable = false;
  std::string mVersion; // of its software; "" = not stated
  HeldModels mModels;
  // Models with a copy of the weights in memory.
  std::set<std::string> mInMemory;
  std::set<std::string> mOnDisk; // models with a copy on its disk
};

} // namespace caraway

#endif
