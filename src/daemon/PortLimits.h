// PortLimits.h: how many connections the ports of an instance take.
#ifndef caraway_daemon_PortLimits_h
#define caraway_daemon_PortLimits_h

#include <cstddef>

namespace caraway {

// Each connection that is served has a thread and two descriptors: its own, and
// one that wakes the thread.
struct PortLimits
{
  int mCallers = 0; // connections of callers that are served at a time
  int mPeers = 0;   // of other instances
  int mWaiting = 0; // connections that wait for a thread, at each port
  // Connections that were refused and are still being closed, at each port.
  size_t mClosing = 0;
};

// For a process that may have aDescriptors open, of which callers may have
// aCallers connections at most. A quarter of those for sockets is left for
// calls to engines, services, the platform and other instances.
PortLimits
PortLimitsFor(size_t aDescriptors, int aCallers);

} // namespace caraway

#endif
