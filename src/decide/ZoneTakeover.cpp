#include "decide/ZoneTakeover.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr int kLostPulses = 6; // of an instance that lives

} // namespace

ZoneTakeover::ZoneTakeover(TimePoint aNow)
  : mStart(aNow)
  , mHeardAt(aNow)
{
}

void
ZoneTakeover::SetHeartbeatInterval(Millis aGap)
{
  mGap = aGap;
  mSilent = std::max(kSilent, aGap * kLostPulses);
}

void
ZoneTakeover::OnHeard(TimePoint aNow)
{
  mHeardAt = aNow;
  mEmptySince = TimePoint();
  mListWait = kListAgain;
}

// A list that was asked for before somebody was heard may lack it.
void
ZoneTakeover::OnListed(int aEntries, TimePoint aAskedAt)
{
  if (aAskedAt <= mListedAt) {
    return;
  }
  mListedAt = aAskedAt;
  mEntries = aEntries;
  mListWait = aEntries > 0 ? std::min(mListWait * 2, kListMost) : kListAgain;
  if (aEntries > 0 || aAskedAt <= mHeardAt) {
    mEmptySince = TimePoint();
  } else if (mEmptySince == TimePoint()) {
    mEmptySince = aAskedAt;
  }
}

void
ZoneTakeover::OnLedByOther(TimePoint aNow)
{
  mByOtherAt = aNow;
}

bool
ZoneTakeover::Silent(TimePoint aNow) const
{
  return aNow - mStart >= kAfterStart && aNow - mHeardAt >= mSilent;
}

// Those of a higher rank ask later, when nobody before them has taken it, and
// more seldom: a silent zone costs the store a few calls, however many see it.
bool
ZoneTakeover::NeedsList(TimePoint aNow) const
{
  if (mLedHere) {
    return aNow - mListedAt >= kListLeading;
  }
  Millis turn = std::max(kTurn, mGap * kTurnPulses) * mRank;
  bool led = mByOtherAt != TimePoint() && aNow - mByOtherAt < mSilent + turn;
  Millis wait = mListWait < kListMost ? mListWait : kListMost * (1 + mRank);
  return Silent(aNow) && !led && aNow - mHeardAt >= mSilent + turn &&
         aNow - mListedAt >= wait;
}

bool
ZoneTakeover::MayLead(TimePoint aNow) const
{
  bool empty = mEmptySince != TimePoint() && mListedAt - mEmptySince >= kEmpty;
  return empty && aNow - mStart >= kAfterStart && aNow - mListedAt < kListLife;
}

} // namespace caraway
