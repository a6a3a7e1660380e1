// IdleConnections.h: the connections of a port that hold a thread while they
// wait for a request.
#ifndef caraway_net_IdleConnections_h
#define caraway_net_IdleConnections_h

#include <chrono>
#include <map>
#include <mutex>

#include "caraway/Time.h"
#include "net/WakeEvent.h"

namespace caraway {

// The port's acceptor calls Release() while connections have no thread.
class IdleConnections
{
public:
  // A connection's thread begins to wait for a request, or for aWake. Release()
  // leaves it alone for aAtLeast.
  void Begin(const WakeEvent& aWake, Millis aAtLeast);
  // It has stopped to wait. Returns whether it was released.
  bool End(const WakeEvent& aWake);
  // Wakes those that have waited longest, so that aCount threads become free,
  // counting those that were woken and haven't ended yet. Returns how many
  // there are.
  size_t Release(size_t aCount);

private:
  struct Waiting
  {
    std::chrono::steady_clock::time_point mSince;
    Millis mAtLeast;
    bool mReleased = false;
  };

  std::mutex mLock;
  std::map<const WakeEvent*, Waiting> mWaiting;
};

} // namespace caraway

#endif
