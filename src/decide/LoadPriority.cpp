#include "decide/LoadPriority.h"

namespace caraway {

LoadPriorityKey
RankLoad(const LoadPriorityFacts& aFacts, TimePoint aNow)
{
  bool popular = aFacts.mHasWaiters && aFacts.mRate >= kPopularRate;
  bool late = aNow + aFacts.mLoad > aFacts.mNeedBy;
  return { !popular, aFacts.mPriority, late, aFacts.mSince };
}

} // namespace caraway
