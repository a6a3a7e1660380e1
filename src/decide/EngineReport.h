// EngineReport.h: an engine's report of its replicas and load.
#ifndef caraway_decide_EngineReport_h
#define caraway_decide_EngineReport_h

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct EngineReplica
{
  std::string mName;
  std::string mVersion;
  int64_t mBytes = 0;
  bool mReady = false;
  int mActive = 0;   // requests in flight
  Millis mIdle{ 0 }; // time since its last request
};

struct EngineReport
{
  int64_t mHighestFencingToken = 0; // highest token of the orders it accepted
  int mActive = 0;                  // requests in its batch; may lag
  int mWaiting = 0;                 // requests in its own queue; may lag
  std::vector<EngineReplica> mReplicas;
  // Names of cached checkpoints, nearest tier first.
  std::vector<std::string> mCachedInMemory;
  std::vector<std::string> mCachedOnDisk;
};

} // namespace caraway

#endif
