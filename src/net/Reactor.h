// Reactor.h: one thread that waits for sockets and timers.
//
// A shard of the entry instance: all its connections and state are touched by
// this thread only, so that no lock is needed inside it. Nothing in a handler
// may block, or every request of the shard is late.
#ifndef caraway_net_Reactor_h
#define caraway_net_Reactor_h

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "caraway/Clock.h"

namespace caraway {

// What the reactor tells the owner of a socket.
class SocketHandler
{
public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() {}
};

class Reactor
{
public:
  using Task = std::function<void()>;
  using TimerId = std::pair<TimePoint, uint64_t>;

  explicit Reactor(const Clock& aClock);
  ~Reactor();

  // Lets go of all sockets and timers, for good. Handlers and tasks hold each
  // other and what they work on; an owner calls this while that still lives.
  void Drop();

  // aHandler is kept alive while the socket is watched.
  void Watch(const Poco::Net::Socket& aSocket,
             std::shared_ptr<SocketHandler> aHandler,
             bool aWrite = false);
  // Errors are told in any case, as readable.
  void SetInterest(const Poco::Net::Socket& aSocket, bool aRead, bool aWrite);
  void Forget(const Poco::Net::Socket& aSocket);

  TimerId After(Millis aDelay, Task aTask);
  // Again and again, aEvery after each run ended.
  void Every(Millis aEvery, Task aTask);
  void Cancel(const TimerId& aTimer);

  // One wait, at most aMost, and what it brought.
  void RunPass(Millis aMaxWait);

  TimePoint Now() const { return mClock.Now(); }
  const Clock& SourceClock() const { return mClock; }
  size_t Sockets() const { return mHandlers.size(); }

private:
  void RunTimers();
  Millis PollTimeout(Millis aMaxWait) const;

  const Clock& mClock;
  Poco::Net::PollSet mPollSet;
  std::unordered_map<void*, std::shared_ptr<SocketHandler>> mHandlers;
  std::map<TimerId, Task> mTimers;
  uint64_t mNextTimer = 0;
  bool mDropped = false;
};

} // namespace caraway

#endif
