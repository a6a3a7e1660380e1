// BackendEntry.h: what a server says of itself in the list of servers.
#ifndef caraway_decide_BackendEntry_h
#define caraway_decide_BackendEntry_h

#include <map>
#include <set>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// Adapters by model.
using HeldModels = std::map<std::string, std::set<std::string>>;

struct BackendEntry
{
  std::string mId;
  std::string mService;
  std::string mAddress; // ip:port
  std::string mZone;
  int mSlots = 1;
  bool mDraining = false;
  int64_t mStartTime = 0; // start of this life, Unix milliseconds
  HeldModels mModels;
  std::set<std::string> mInMemory; // copies of weights at hand
  std::set<std::string> mOnDisk;
};

} // namespace caraway

#endif
