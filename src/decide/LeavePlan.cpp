#include "decide/LeavePlan.h"

#include <algorithm>

namespace caraway {

void
LeavePlan::Begin(TimePoint aNow, const LeaveTimes& aTimes)
{
  mLeaving = true;
  // With little time granted, most of it is for what is under way.
  constexpr int kCallersPart = 3;
  mCallersUntil =
    aNow + std::min(aTimes.mBalancerLag, aTimes.mGrace / kCallersPart);
  mEnd = aNow + std::max(aTimes.mGrace - aTimes.mEndMargin, Millis(0));
}

bool
LeavePlan::ExpectsCallers(TimePoint aNow) const
{
  return aNow < mCallersUntil;
}

bool
LeavePlan::MayStart(TimePoint aStart, TimePoint aAnswerBy, Millis aUsual) const
{
  if (!mLeaving || aAnswerBy <= mEnd) {
    return true;
  }
  return ExpectsCallers(aStart) && aStart + aUsual <= mEnd;
}

bool
LeavePlan::MayGoOn(TimePoint aNow) const
{
  return aNow < mEnd;
}

} // namespace caraway
