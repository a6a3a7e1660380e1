#include "decide/RepeatRotation.h"

#include <algorithm>

namespace caraway {

std::vector<std::string>
RepeatRotation::Due(const std::vector<std::string>& aNames,
                    Millis aRound,
                    TimePoint aNow)
{
  auto total = static_cast<double>(aNames.size());
  if (mCalledAt != TimePoint() && aRound > Millis(0)) {
    mOwed += total * std::chrono::duration<double>(aNow - mCalledAt).count() /
             std::chrono::duration<double>(aRound).count();
  }
  mCalledAt = aNow;
  mOwed = std::min(mOwed, total);
  std::vector<std::string> due;
  auto next = std::upper_bound(aNames.begin(), aNames.end(), mLast);
  for (; mOwed >= 1; mOwed -= 1, ++next) {
    if (next == aNames.end()) {
      next = aNames.begin();
    }
    due.push_back(*next);
    mLast = *next;
  }
  return due;
}

} // namespace caraway
