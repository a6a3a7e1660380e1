// Reactor.h: single-threaded event loop for sockets and timers.
//
// All connections and state of an entry instance are used by this thread only,
// so that no locks are needed. A handler must not block: it would delay every
// request of the instance.
#ifndef caraway_net_Reactor_h
#define caraway_net_Reactor_h

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "caraway/Clock.h"
#include "net/KeptBytes.h"

namespace caraway {

// Receives the events of a socket.
class SocketHandler
{
public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() {}
  // Brings configuration, servers or leases. It is handled before the callers'
  // sockets, so that what piled up while the loop was held up isn't served by
  // outdated state.
  virtual bool IsControl() const { return false; }
};

// With less lag than this, events count as fresh.
inline constexpr Millis kMaxLag{ 50 };

class Reactor
{
public:
  using Task = std::function<void()>;
  using TimerId = std::pair<TimePoint, uint64_t>;

  explicit Reactor(const Clock& aClock);
  ~Reactor();

  // Releases all sockets and timers for good. Handlers and tasks refer to each
  // other and to their owners, so this must be called while those still exist.
  void Drop();

  // Holds a reference to aHandler while the socket is watched.
  void Watch(const Poco::Net::Socket& aSocket,
             std::shared_ptr<SocketHandler> aHandler,
             bool aWrite = false);
  // Errors are always reported, as readable.
  void SetInterest(const Poco::Net::Socket& aSocket, bool aRead, bool aWrite);
  void Unwatch(const Poco::Net::Socket& aSocket);

  TimerId After(Millis aDelay, Task aTask);
  // Runs aTask repeatedly, aEvery after the end of each run.
  void Every(Millis aEvery, Task aTask);
  void Cancel(const TimerId& aTimer);

  // One pass of the event loop: waits for at most aMaxWait and handles the
  // events.
  void RunPass(Millis aMaxWait);
  // How outdated the events of this pass may be: the time since its wait ended,
  // the time by which the wait was too long, as the process stood still in it,
  // or the length of the pass before, in which events queued up.
  Millis Lag() const;
  // How long the last pass kept the events of the next one waiting: its own
  // length, and the time by which its wait was too long.
  Millis LastDelay() const { return std::max(mLastPass, mOverslept); }

  // When the wait of this pass ended.
  TimePoint PolledAt() const { return mPolledAt; }

  TimePoint Now() const { return mClock.Now(); }
  const Clock& SourceClock() const { return mClock; }
  size_t Sockets() const { return mHandlers.size(); }
  // By all calls on this loop.
  KeptBytes& Kept() { return mKept; }

private:
  void Handle(const Poco::Net::PollSet::SocketModeMap& aReady, bool aControl);
  void RunTimers(TimePoint aDue);
  Millis PollTimeout(Millis aMaxWait) const;
  TimePoint WakeBy(Millis aMaxWait) const;

  const Clock& mClock;
  KeptBytes mKept;
  Poco::Net::PollSet mPollSet;
  std::unordered_map<void*, std::shared_ptr<SocketHandler>> mHandlers;
  std::map<TimerId, Task> mTimers;
  uint64_t mNextTimer = 0;
  TimePoint mPolledAt{};    // when the wait of this pass ended
  TimePoint mPassEndedAt{}; // of the pass before
  Millis mLastPass{ 0 };    // length of the pass before, without its wait
  Millis mOverslept{ 0 };   // time by which the wait of this pass was too long
  bool mDropped = false;
};

} // namespace caraway

#endif
