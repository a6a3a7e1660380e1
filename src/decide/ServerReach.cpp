#include "decide/ServerReach.h"

#include <algorithm>

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
ServerReach::OnUnreached(const std::string& aServer, bool aNear, TimePoint aNow)
{
  for (auto at = mUnreached.begin(); at != mUnreached.end();) {
    bool old = aNow - at->second.mAt > kFailureMemory;
    at = old ? mUnreached.erase(at) : std::next(at);
  }
  mUnreached[aServer] = { aNow, aNear };
  bool anyNear =
    std::any_of(mUnreached.begin(), mUnreached.end(), [](const auto& aEntry) {
      return aEntry.second.mNear;
    });
  mCutOff = mCutOff || (anyNear && mUnreached.size() >= kMinUnreached);
}

} // namespace caraway
