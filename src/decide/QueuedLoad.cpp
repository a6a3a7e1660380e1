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

QueuedLoad::QueuedLoad(TimePoint aNow)
  : mSince(aNow)
{
}

void
QueuedLoad::OnAsked(std::optional<Millis> aLeft, TimePoint aNow)
{
  mReturned = mReturned || (mReturnFrom != TimePoint() && aNow >= mReturnFrom);
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
  if (!aLeft || aExpected <= *aLeft) {
    return;
  }
  TimePoint from = aNow + aExpected;
  mReturnFrom = mReturnFrom == TimePoint() ? from : std::min(mReturnFrom, from);
  mReturnBy =
    std::max(mReturnBy, from + RetrySpread(aExpected) + kReturnMargin);
}

bool
QueuedLoad::GivenUp(TimePoint aNow) const
{
  return Silent(aNow) && aNow > mReturnBy;
}

LoadDemand
QueuedLoad::Demand(TimePoint aNow) const
{
  if (mReturned && Overdue(aNow)) {
    return LoadDemand::Owed;
  }
  return Silent(aNow) ? LoadDemand::Kept : LoadDemand::Present;
}

} // namespace caraway
