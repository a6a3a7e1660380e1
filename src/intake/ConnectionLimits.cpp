#include "intake/ConnectionLimits.h"

#include <algorithm>

namespace caraway {

namespace {

// Of a process's descriptors, the platform reserves these for files.
constexpr size_t kForFiles = 200;

constexpr size_t kMinSockets = 64; // a smaller machine runs into its limit
constexpr size_t kMostPeers = 512;
constexpr size_t kMostOther = 64;

} // namespace

ConnectionLimits
ConnectionLimitsFor(size_t aDescriptors)
{
  size_t sockets = std::max(aDescriptors, kForFiles + kMinSockets) - kForFiles;
  ConnectionLimits limits;
  limits.mCallers = sockets / 4 * 3;
  size_t rest = sockets - limits.mCallers;
  limits.mPeers = std::min(rest / 2, kMostPeers);
  limits.mOther = std::min(rest / 8, kMostOther);
  return limits;
}

} // namespace caraway
