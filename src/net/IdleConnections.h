// IdleConnections.h: the connections of a port that hold a thread while they
// wait for a request.
#ifndef caraway_net_IdleConnections_h
#define caraway_net_IdleConnections_h

#include <chrono>
#include <map>
#include <mutex>

#include "caraway/Time.h"

namespace caraway {

// A connection's thread waits in Wait(); the port's acceptor calls Release()
// when connections without a thread need one.
class IdleConnections
{
public:
  // An event descriptor of one connection, by which its thread is woken.
  class Waker
  {
  public:
    Waker();
    ~Waker();
    Waker(const Waker&) = delete;
    Waker& operator=(const Waker&) = delete;
    void Wake() const;
    void Clear() const; // after Wake()
    int Descriptor() const { return mDescriptor; }

  private:
    int mDescriptor;
  };

  // aWaker's thread begins to wait. Release() leaves it alone for aAtLeast.
  void Begin(const Waker& aWaker, Millis aAtLeast);
  // It has stopped to wait. Returns whether it was released.
  bool End(const Waker& aWaker);
  // Wakes those that have waited longest, so that aCount threads become free,
  // counting those that were woken and haven't ended yet.
  void Release(size_t aCount);

private:
  struct Waiting
  {
    std::chrono::steady_clock::time_point mSince;
    Millis mAtLeast;
    bool mReleased = false;
  };

  std::mutex mLock;
  std::map<const Waker*, Waiting> mWaiting;
};

} // namespace caraway

#endif
