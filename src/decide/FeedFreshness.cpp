#include "decide/FeedFreshness.h"

#include <algorithm>

namespace caraway {

void
FeedFreshness::OnConfirmed(TimePoint aAt)
{
  mConfirmedAt = std::max(mConfirmedAt, aAt);
}

void
FeedFreshness::OnHeard(TimePoint aSentAt)
{
  mHeardAt = std::max(mHeardAt, aSentAt);
}

void
FeedFreshness::OnHeldUp(TimePoint aUntil)
{
  bool again =
    mHeldUpUntil != TimePoint() && aUntil - mHeldUpUntil < kCheckPause;
  // What is older may miss a change that has to be in force before the next
  // check.
  bool young = aUntil - std::max(mConfirmedAt, mHeardAt) <= mMaxAge / 2;
  if (!again || !(young || AskedInVain(aUntil))) {
    mHeldUpUntil = aUntil;
  }
}

void
FeedFreshness::OnCheckFailed(TimePoint aNow)
{
  mCheckFailedAt = std::max(mCheckFailedAt, aNow);
}

bool
FeedFreshness::AskedInVain(TimePoint aNow) const
{
  return mCheckFailedAt != TimePoint() && aNow - mCheckFailedAt < kCheckPause;
}

bool
FeedFreshness::InDoubt() const
{
  return std::max(mConfirmedAt, mHeardAt) < mHeldUpUntil;
}

FeedFreshness::Verdict
FeedFreshness::ToDeny(TimePoint aNow) const
{
  bool confirmed = mConfirmedAt != TimePoint();
  if (confirmed && aNow - mConfirmedAt <= mMaxAge) {
    return Verdict::Rely;
  }
  return AskedInVain(aNow) ? Verdict::Unconfirmed : Verdict::Check;
}

FeedFreshness::Verdict
FeedFreshness::ToServe() const
{
  bool asked = mCheckFailedAt != TimePoint() && mCheckFailedAt >= mHeldUpUntil;
  return InDoubt() && !asked ? Verdict::Check : Verdict::Rely;
}

} // namespace caraway
