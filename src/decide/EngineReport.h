// EngineReport.h: what an engine says it holds.
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
  int mActive = 0;   // requests it is serving
  Millis mIdle{ 0 }; // since it last served one
};

struct EngineReport
{
  int64_t mHighestFencingToken = 0; // of the orders it has taken
  int mActive = 0;                  // requests in its batch; lags
  int mWaiting = 0;                 // requests it has queued itself; lags
  std::vector<EngineReplica> mReplicas;
  std::vector<std::string> mCachedInMemory; // checkpoints, nearest first
  std::vector<std::string> mCachedOnDisk;
};

} // namespace caraway

#endif
