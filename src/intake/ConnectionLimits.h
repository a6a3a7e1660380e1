// ConnectionLimits.h: how many connections the ports of an instance accept.
#ifndef caraway_intake_ConnectionLimits_h
#define caraway_intake_ConnectionLimits_h

#include <cstddef>

namespace caraway {

struct ConnectionLimits
{
  size_t mCallers = 0;
  size_t mPeers = 0; // from other instances
  size_t mOther = 0; // at each port of the platform's own: readiness, metrics
};

// For a process that may have aDescriptors open. A quarter of those for sockets
// is left for the other ports, and for connections to servers, the store and
// other instances.
ConnectionLimits
ConnectionLimitsFor(size_t aDescriptors);

} // namespace caraway

#endif
