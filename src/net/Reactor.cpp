#include "net/Reactor.h"

#include <algorithm>

namespace caraway {

using Poco::Net::PollSet;

namespace {

// About an eighth of the memory of the smallest instances.
constexpr size_t kMaxKeptBytes = 16u << 20;

} // namespace

Reactor::Reactor(const Clock& aClock)
  : mClock(aClock)
  , mKept(kMaxKeptBytes)
{
}

Reactor::~Reactor()
{
  Drop();
}

void
Reactor::Drop()
{
  mDropped = true;
  // Destroying a handler or task may destroy or remove others.
  auto handlers = std::move(mHandlers);
  auto timers = std::move(mTimers);
  mHandlers.clear();
  mTimers.clear();
  mPollSet.clear();
}

void
Reactor::Watch(const Poco::Net::Socket& aSocket,
               std::shared_ptr<SocketHandler> aHandler,
               bool aWrite)
{
  if (mDropped) {
    return;
  }
  mHandlers[aSocket.impl()] = std::move(aHandler);
  mPollSet.add(aSocket,
               PollSet::POLL_READ | (aWrite ? PollSet::POLL_WRITE : 0));
}

void
Reactor::SetInterest(const Poco::Net::Socket& aSocket, bool aRead, bool aWrite)
{
  if (mHandlers.count(aSocket.impl())) {
    mPollSet.update(aSocket,
                    PollSet::POLL_ERROR | (aRead ? PollSet::POLL_READ : 0) |
                      (aWrite ? PollSet::POLL_WRITE : 0));
  }
}

void
Reactor::Unwatch(const Poco::Net::Socket& aSocket)
{
  if (mHandlers.erase(aSocket.impl())) {
    mPollSet.remove(aSocket);
  }
}

Reactor::TimerId
Reactor::After(Millis aDelay, Task aTask)
{
  // Without a delay it is due at the end of this pass.
  TimePoint at = aDelay > Millis(0) ? Now() + aDelay : mPolledAt;
  TimerId id(at, ++mNextTimer);
  if (mDropped) {
    return id;
  }
  mTimers.emplace(id, std::move(aTask));
  return id;
}

void
Reactor::Every(Millis aEvery, Task aTask)
{
  After(aEvery, [this, aEvery, aTask] {
    aTask();
    Every(aEvery, aTask);
  });
}

void
Reactor::Cancel(const TimerId& aTimer)
{
  mTimers.erase(aTimer);
}

Millis
Reactor::PollTimeout(Millis aMaxWait) const
{
  if (mTimers.empty()) {
    return aMaxWait;
  }
  auto left = mTimers.begin()->first.first - Now();
  // Rounded up: waking a fraction of a millisecond early would spin until the
  // timer is due.
  Millis wait = std::chrono::duration_cast<Millis>(left + Micros(999));
  return std::clamp(wait, Millis(0), aMaxWait);
}

// When the wait of this pass should end at the latest. It counts from the end
// of the pass before: the process may have stood still between the two.
TimePoint
Reactor::WakeBy(Millis aMaxWait) const
{
  if (mPassEndedAt == TimePoint()) {
    return TimePoint::max();
  }
  TimePoint by = mPassEndedAt + aMaxWait;
  if (!mTimers.empty()) {
    by = std::min(by, mTimers.begin()->first.first);
  }
  return std::max(by, mPassEndedAt);
}

void
Reactor::Handle(const PollSet::SocketModeMap& aReady, bool aControl)
{
  for (const auto& [socket, mode] : aReady) {
    // A handler may remove others or itself, so each one is looked up again.
    auto found = mHandlers.find(socket.impl());
    if (found == mHandlers.end() || found->second->IsControl() != aControl) {
      continue;
    }
    std::shared_ptr<SocketHandler> handler = found->second;
    if (mode & PollSet::POLL_WRITE) {
      handler->OnWritable();
    }
    if ((mode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) &&
        mHandlers.count(socket.impl())) {
      handler->OnReadable();
    }
  }
}

void
Reactor::RunPass(Millis aMaxWait)
{
  TimePoint wakeBy = WakeBy(aMaxWait);
  Poco::Timespan wait(Micros(PollTimeout(aMaxWait)).count());
  PollSet::SocketModeMap ready = mPollSet.poll(wait);
  mPolledAt = Now();
  auto late = std::chrono::duration_cast<Millis>(mPolledAt - wakeBy);
  mOverslept = std::max(late, Millis(0));
  Handle(ready, true);
  Handle(ready, false);
  RunTimers(mPolledAt);
  mPassEndedAt = Now();
  mLastPass = std::chrono::duration_cast<Millis>(mPassEndedAt - mPolledAt);
}

Millis
Reactor::Lag() const
{
  return std::max(LastDelay(),
                  std::chrono::duration_cast<Millis>(Now() - mPolledAt));
}

// Timers that become due during a pass wait for the next one. A handler may
// have taken long, and the answer whose timeout has passed meanwhile may lie in
// a socket that is read first then.
void
Reactor::RunTimers(TimePoint aDue)
{
  // Those that are added here run in the next pass, so that a task that is
  // repeated without a delay doesn't keep the sockets waiting.
  uint64_t last = mNextTimer;
  while (!mTimers.empty() && mTimers.begin()->first.first <= aDue &&
         mTimers.begin()->first.second <= last) {
    Task task = std::move(mTimers.begin()->second);
    mTimers.erase(mTimers.begin());
    task();
  }
}

} // namespace caraway
