#include "decide/LoadPriority.h"

namespace caraway {

LoadPriorityKey
RankLoad(const LoadPriorityFacts& aWant, TimePoint aNow)
{
  bool popular = aWant.mAsked && aWant.mRate >= kPopularRate;
  bool late = aNow + aWant.mLoad > aWant.mNeedBy;
  return { !popular, aWant.mPriority, late, aWant.mSince };
}

} // namespace caraway
