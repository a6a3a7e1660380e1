#include "decide/ZoneTakeover.h"

#include <algorithm>

namespace caraway {

namespace {

// Consecutive heartbeats missed by all instances of a silent zone.
constexpr int kMissedHeartbeats = 6;

} // namespace

ZoneTakeover::ZoneTakeover(TimePoint aNow)
  : mStart(aNow)
  , mLastHeardAt(aNow)
{
}

void
ZoneTakeover::SetHeartbeatInterval(Millis aInterval)
{
  mHeartbeatInterval = aInterval;
  mSilenceTimeout = std::max(kSilenceTimeout, aInterval * kMissedHeartbeats);
}

void
ZoneTakeover::OnInstanceHeard(TimePoint aNow)
{
  mLastHeardAt = aNow;
  mEmptySince = TimePoint();
  mListWait = kListInterval;
}

// A list requested before an instance was heard from may lack its entry.
void
ZoneTakeover::OnListed(int aEntries, TimePoint aAskedAt)
{
  if (aAskedAt <= mListedAt) {
    return;
  }
  mListedAt = aAskedAt;
  mEntries = aEntries;
  mListWait =
    aEntries > 0 ? std::min(mListWait * 2, kMaxListInterval) : kListInterval;
  if (aEntries > 0 || aAskedAt <= mLastHeardAt) {
    mEmptySince = TimePoint();
  } else if (mEmptySince == TimePoint()) {
    mEmptySince = aAskedAt;
  }
}

void
ZoneTakeover::OnLedByOther(TimePoint aNow)
{
  mLedByOtherAt = aNow;
}

bool
ZoneTakeover::Silent(TimePoint aNow) const
{
  return aNow - mStart >= kStartupDelay &&
         aNow - mLastHeardAt >= mSilenceTimeout;
}

// Candidates that rank later request lists later, after those before them had
// the chance to take over, and less often. So a silent zone costs the store a
// few calls, however many instances see it.
bool
ZoneTakeover::NeedsList(TimePoint aNow) const
{
  if (mLedHere) {
    return aNow - mListedAt >= kLeaderListInterval;
  }
  Millis delay =
    std::max(kRankDelay, mHeartbeatInterval * kRankDelayHeartbeats) * mRank;
  bool led = mLedByOtherAt != TimePoint() &&
             aNow - mLedByOtherAt < mSilenceTimeout + delay;
  Millis wait =
    mListWait < kMaxListInterval ? mListWait : kMaxListInterval * (1 + mRank);
  return Silent(aNow) && !led &&
         aNow - mLastHeardAt >= mSilenceTimeout + delay &&
         aNow - mListedAt >= wait;
}

bool
ZoneTakeover::MayLead(TimePoint aNow) const
{
  bool empty =
    mEmptySince != TimePoint() && mListedAt - mEmptySince >= kEmptyConfirmTime;
  return empty && aNow - mStart >= kStartupDelay &&
         aNow - mListedAt < kMaxListAge;
}

} // namespace caraway
