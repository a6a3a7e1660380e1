#include "decide/ServerReach.h"

namespace caraway {

namespace {

// Two servers that crash at the same time are no partition.
constexpr size_t kMinUnreached = 3;

// Failures that lie further apart than this don't belong to one partition.
constexpr Millis kFailureMemory{ 5000 };

} // namespace

void
ServerReach::OnReached()
{
  mUnreached.clear();
  mCutOff = false;
}

void
ServerReach::OnUnreached(const std::string& aServer, TimePoint aNow)
{
  for (auto at = mUnreached.begin(); at != mUnreached.end();) {
    bool old = aNow - at->second > kFailureMemory;
    at = old ? mUnreached.erase(at) : std::next(at);
  }
  mUnreached[aServer] = aNow;
  mCutOff = mCutOff || mUnreached.size() >= kMinUnreached;
}

} // namespace caraway
