#include "net/IdleConnections.h"

#include <algorithm>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

namespace caraway {

IdleConnections::Waker::Waker()
  : mDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  if (mDescriptor < 0) {
    throw std::runtime_error("eventfd failed");
  }
}

IdleConnections::Waker::~Waker()
{
  close(mDescriptor);
}

void
IdleConnections::Waker::Wake() const
{
  eventfd_write(mDescriptor, 1);
}

void
IdleConnections::Waker::Clear() const
{
  eventfd_t count = 0;
  eventfd_read(mDescriptor, &count);
}

void
IdleConnections::Begin(const Waker& aWaker, Millis aAtLeast)
{
  std::lock_guard<std::mutex> lock(mLock);
  mWaiting[&aWaker] = { std::chrono::steady_clock::now(), aAtLeast };
}

bool
IdleConnections::End(const Waker& aWaker)
{
  std::lock_guard<std::mutex> lock(mLock);
  auto found = mWaiting.find(&aWaker);
  bool released = found->second.mReleased;
  mWaiting.erase(found);
  if (released) {
    aWaker.Clear(); // a request may have come first, and others follow
  }
  return released;
}

void
IdleConnections::Release(size_t aCount)
{
  std::lock_guard<std::mutex> lock(mLock);
  auto now = std::chrono::steady_clock::now();
  std::vector<decltype(mWaiting)::iterator> candidates;
  size_t released = 0;
  for (auto at = mWaiting.begin(); at != mWaiting.end(); ++at) {
    if (at->second.mReleased) {
      ++released;
    } else if (now - at->second.mSince >= at->second.mAtLeast) {
      candidates.push_back(at);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const auto& aOne, const auto& aOther) {
              return aOne->second.mSince < aOther->second.mSince;
            });
  for (auto at = candidates.begin();
       at != candidates.end() && released < aCount;
       ++at, ++released) {
    (*at)->second.mReleased = true;
    (*at)->first->Wake();
  }
}

} // namespace caraway
