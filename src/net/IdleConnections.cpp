#include "net/IdleConnections.h"

#include <algorithm>
#include <vector>

namespace caraway {

void
IdleConnections::Begin(const WakeEvent& aWake, Millis aAtLeast)
{
  std::lock_guard<std::mutex> lock(mLock);
  mWaiting[&aWake] = { std::chrono::steady_clock::now(), aAtLeast };
}

bool
IdleConnections::End(const WakeEvent& aWake)
{
  std::lock_guard<std::mutex> lock(mLock);
  auto found = mWaiting.find(&aWake);
  bool released = found->second.mReleased;
  mWaiting.erase(found);
  if (released) {
    aWake.Clear(); // a request may have come first, and others follow
  }
  return released;
}

size_t
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
    (*at)->first->Signal();
  }
  return released;
}

} // namespace caraway
