#include "decide/LeavePlan.h"

#include <algorithm>

namespace caraway {

namespace {

// Time after the last answers are sent for them to reach their callers.
constexpr Millis kLastAnswersTime{ 200 };

} // namespace

void
LeavePlan::Begin(TimePoint aNow, const LeaveTimes& aTimes)
{
  mLeaving = true;
  mBegan = aNow;
  mTimes = aTimes;
  Shorten(aTimes.mGrace);
}

void
LeavePlan::Shorten(Millis aGrace)
{
  if (!mLeaving) {
    return;
  }
  Millis left = std::max(aGrace - mTimes.mNoticedAfter, Millis(0));
  // When little time is left, most of it is for requests in flight.
  constexpr int kCallersDivisor = 3;
  Millis callers = std::min(mTimes.mBalancerLag, left / kCallersDivisor);
  Millis work = std::max(left - mTimes.mEndMargin, Millis(0));
  mCallersUntil = std::min(mCallersUntil, mBegan + callers);
  mEnd = std::min(mEnd, mBegan + work);
  // The last answers get their time even if the grace period has passed.
  Millis exit = std::max(left - mTimes.mExitMargin, work + kLastAnswersTime);
  mExit = std::min(mExit, mBegan + exit);
}

bool
LeavePlan::ExpectsCallers(TimePoint aNow) const
{
  return aNow < mCallersUntil;
}

bool
LeavePlan::MayStart(TimePoint aStart, TimePoint aAnswerBy, Millis aUsual) const
{
  if (!mLeaving) {
    return true;
  }
  if (aStart >= mEnd) {
    return false;
  }
  bool fits = ExpectsCallers(aStart) && aStart + aUsual <= mEnd;
  return aAnswerBy <= mEnd || fits;
}

bool
LeavePlan::MayContinue(TimePoint aNow) const
{
  return aNow < mEnd;
}

} // namespace caraway
