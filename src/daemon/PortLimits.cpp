#include "daemon/PortLimits.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr size_t kForFiles = 200;   // as on the platform
constexpr size_t kMinSockets = 160; // a smaller machine runs into its limit
constexpr size_t kMostPeers = 512;
constexpr size_t kMostWaiting = 64;
constexpr size_t kMostClosing = 1024;

} // namespace

PortLimits
PortLimitsFor(size_t aDescriptors, int aCallers)
{
  size_t sockets = std::max(aDescriptors, kForFiles + kMinSockets) - kForFiles;
  PortLimits limits;
  limits.mCallers = std::min(aCallers, static_cast<int>(sockets / 8));
  limits.mPeers = static_cast<int>(std::min(sockets / 7, kMostPeers));
  limits.mWaiting = static_cast<int>(std::min(sockets / 32, kMostWaiting));
  limits.mClosing = std::min(sockets / 64, kMostClosing);
  return limits;
}

} // namespace caraway
