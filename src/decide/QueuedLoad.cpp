#include "decide/QueuedLoad.h"

#include <algorithm>

namespace caraway {

QueuedLoad::QueuedLoad(TimePoint aNow)
  : mSince(aNow)
{
}

void
QueuedLoad::OnAsked(std::optional<Millis> aLeft, TimePoint aNow)
{
  mAskedAt = aNow;
  TimePoint needBy = aNow + aLeft.value_or(Millis(0));
  mNeedBy = std::max(mNeedBy, needBy);
  if (aLeft) {
    mFirstNeedBy = std::min(mFirstNeedBy.value_or(needBy), needBy);
  }
}

} // namespace caraway
