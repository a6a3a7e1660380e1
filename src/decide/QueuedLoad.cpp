#include "decide/QueuedLoad.h"

#include <algorithm>

namespace caraway {

namespace {

// From the retry-after time until the caller's next request has reached the
// lease holder.
constexpr Millis kReturnMargin{ 400 };

} // namespace

Millis
RetrySpread(Millis aWait)
{
  return aWait / 5 + Millis(100);
}

TimePoint
ReturnTime(Millis aExpected, std::optional<Millis> aLeft, TimePoint aNow)
{
  bool waits = !aLeft || aExpected <= *aLeft;
  return waits ? TimePoint()
               : aNow + aExpected + RetrySpread(aExpected) + kReturnMargin;
}

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

void
QueuedLoad::OnExpected(Millis aExpected,
                       std::optional<Millis> aLeft,
                       TimePoint aNow)
{
  mReturnBy = std::max(mReturnBy, ReturnTime(aExpected, aLeft, aNow));
}

TimePoint
QueuedLoad::NeedBy(Millis aLoad, TimePoint aNow) const
{
  return Overdue(aNow) ? std::max(mNeedBy, aNow + aLoad) : mNeedBy;
}

bool
QueuedLoad::GivenUp(TimePoint aNow) const
{
  return aNow - mAskedAt > kMaxSilence && aNow > mReturnBy;
}

} // namespace caraway
