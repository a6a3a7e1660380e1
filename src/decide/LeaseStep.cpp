#include "decide/LeaseStep.h"

#include <algorithm>

namespace caraway {

LeaseStep::LeaseStep(std::string aSelf, LeaseTimes aTimes)
  : mSelf(std::move(aSelf))
  , mTimes(aTimes)
{
}

bool
LeaseStep::Mine(const LeaseRecord& aRecord) const
{
  return aRecord.mHolder == mSelf;
}

LeaseAction
LeaseStep::Due(TimePoint aNow)
{
  if (mPending || aNow < mNext) {
    return LeaseAction::None;
  }
  if (!mWanted) {
    return GiveUp(aNow);
  }
  if (mToken > 0 && aNow >= mUntil) {
    mToken = 0; // ended unrenewed: only taking it anew counts
    mSeen.reset();
  }
  if (mToken > 0) {
    mPending = true;
    mSettled = aNow >= mActFrom;
    return LeaseAction::Write;
  }
  if (mHeard && aNow - mLastHeardAt < mTimes.mHeard) {
    mSeen.reset(); // somebody lives who holds it
    mNext = aNow + mTimes.mRetry;
    return LeaseAction::None;
  }
  if (!mSeen || mRereadNeeded) {
    mRereadNeeded = false;
    mPending = true;
    return LeaseAction::Read;
  }
  mNext = TakeableFrom();
  if (aNow < mNext) {
    return LeaseAction::None;
  }
  mPending = true;
  mSettled = Fresh();
  return LeaseAction::Write;
}

// Whether nobody's orders can be under way but this machine's own: nobody ever
// held the lease, or this machine's former life did and had waited out the
// silence. A taking whose answer was lost, or whose process was killed, had
// not.
bool
LeaseStep::Fresh() const
{
  return mSeen->mRevision == 0 || (Mine(*mSeen) && mSeen->mSettled);
}

LeaseAction
LeaseStep::GiveUp(TimePoint aNow)
{
  if (mToken == 0 || aNow >= mUntil) {
    mToken = 0;
    mSeen.reset();
    return LeaseAction::None;
  }
  mReleasing = true;
  mPending = true;
  return LeaseAction::Write;
}

// When the lease that was seen may be taken.
TimePoint
LeaseStep::TakeableFrom() const
{
  if (Mine(*mSeen)) {
    return mSeenAt;
  }
  Millis lasts = mSeen->mHolder.empty() ? Millis(0) : mTimes.mLength;
  return mSeenAt + lasts + mTimes.mYield;
}

LeaseRecord
LeaseStep::WantedRecord() const
{
  LeaseRecord record = mSeen.value_or(LeaseRecord());
  if (mReleasing) {
    record.mHolder.clear();
  } else {
    record.mHolder = mSelf;
    record.mToken = mToken > 0 ? mToken : record.mToken + 1;
    record.mSettled = mSettled;
  }
  return record;
}

void
LeaseStep::RecordSeen(const LeaseRecord& aRecord, TimePoint aNow)
{
  if (!mSeen || mSeen->mRevision != aRecord.mRevision) {
    mSeenAt = aNow;
  }
  mSeen = aRecord;
}

void
LeaseStep::OnRead(const std::optional<LeaseRecord>& aRecord, TimePoint aNow)
{
  mPending = false;
  mNext = aNow;
  RecordSeen(aRecord.value_or(LeaseRecord()), aNow);
}

void
LeaseStep::OnWritten(int64_t aRevision, TimePoint aAskedAt, TimePoint aNow)
{
  mPending = false;
  if (mReleasing) {
    FinishRelease(aNow);
    return;
  }
  if (mToken == 0) {
    // Orders of another holder may have left just before its lease ended.
    mActFrom = Fresh() ? aNow : aNow + mTimes.mSilence;
  }
  LeaseRecord written = WantedRecord();
  written.mRevision = aRevision;
  mToken = written.mToken;
  mSeen = written;
  mSeenAt = aNow;
  mUntil = aAskedAt + mTimes.mLength;
  mNext = mWanted ? aAskedAt + mTimes.mRenew : aNow;
}

void
LeaseStep::OnConflict(const std::optional<LeaseRecord>& aRecord, TimePoint aNow)
{
  mPending = false;
  if (mReleasing) {
    FinishRelease(aNow);
    return;
  }
  // A write of this process's own whose answer was lost shows as a conflict
  // with itself: it keeps its token, under the revision that is told.
  if (mToken > 0 && aRecord && Mine(*aRecord) && aRecord->mToken == mToken) {
    mSeen = aRecord;
    mNext = aNow;
    return;
  }
  mToken = 0;
  mSeen.reset();
  if (aRecord) {
    RecordSeen(*aRecord, aNow);
  }
  mNext = aNow + mTimes.mRetry;
}

void
LeaseStep::OnFailed(TimePoint aNow)
{
  mPending = false;
  mNext = aNow + mTimes.mRetry;
  mReleasing = false; // tried again until it ends by itself
}

void
LeaseStep::OnClaim(const std::string& aHolder, TimePoint aNow)
{
  if (aHolder != mSelf) {
    mHeard = true;
    mLastHeardAt = aNow;
  }
}

void
LeaseStep::OnHolderReleased(TimePoint aNow)
{
  mHeard = false;
  if (mToken == 0 && !mPending) {
    mSeen.reset();
    mNext = aNow;
  }
}

void
LeaseStep::LookAgain(TimePoint aNow)
{
  if (mToken == 0 && !mPending) {
    mRereadNeeded = true;
    mNext = aNow;
  }
}

void
LeaseStep::FinishRelease(TimePoint aNow)
{
  mReleasing = false;
  mToken = 0;
  mSeen.reset();
  mNext = aNow;
}

void
LeaseStep::SetWanted(bool aWanted, TimePoint aNow)
{
  if (aWanted != mWanted) {
    mWanted = aWanted;
    mNext = aNow;
  }
}

} // namespace caraway
