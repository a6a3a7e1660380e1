#include "decide/LeaseStep.h"

#include <algorithm>

namespace caraway {

LeaseStep::LeaseStep(std::string aSelf, LeaseTimes aTimes)
  : mSelf(std::move(aSelf))
  , mTimes(aTimes)
{
}

bool
LeaseStep::IsOwn(const LeaseRecord& aRecord) const
{
  return aRecord.mHolder == mSelf;
}

LeaseAction
LeaseStep::Due(TimePoint aNow)
{
  if (mCallPending || aNow < mNextActionAt) {
    return LeaseAction::None;
  }
  if (!mWanted) {
    return BeginRelease(aNow);
  }
  if (mToken > 0 && aNow >= mExpiresAt) {
    DropExpired();
  }
  if (mToken > 0) {
    mCallPending = true;
    mSettled = aNow >= mActFrom;
    return LeaseAction::Write;
  }
  if (mHolderHeard && aNow - mLastHeardAt < mTimes.mHolderTimeout) {
    mSeen.reset(); // the holder is alive
    mNextActionAt = aNow + mTimes.mRetry;
    return LeaseAction::None;
  }
  if (!mSeen || mRereadNeeded) {
    mRereadNeeded = false;
    mCallPending = true;
    return LeaseAction::Read;
  }
  mNextActionAt = AcquirableFrom();
  if (aNow < mNextActionAt) {
    return LeaseAction::None;
  }
  mCallPending = true;
  mSettled = NoOtherHolderBefore();
  return LeaseAction::Write;
}

// No call is pending, so that nothing can extend the lease under this token any
// more: only a new acquisition counts.
void
LeaseStep::DropExpired()
{
  mExpiredToken = mToken;
  mToken = 0;
  mSeen.reset();
}

// Whether the holder of the lease last read has announced its end.
bool
LeaseStep::SeenHasExpired() const
{
  return mExpiredHolderToken > 0 && mSeen->mHolder == mExpiredHolder &&
         mSeen->mToken == mExpiredHolderToken;
}

// Whether no other holder's orders can be in progress: the lease was never
// held, or it was last held by this machine's earlier process, which had waited
// out the silence. An acquisition whose answer was lost, or whose process was
// killed, had not.
bool
LeaseStep::NoOtherHolderBefore() const
{
  return mSeen->mRevision == 0 || (IsOwn(*mSeen) && mSeen->mSettled);
}

LeaseAction
LeaseStep::BeginRelease(TimePoint aNow)
{
  if (mToken > 0 && aNow >= mExpiresAt) {
    DropExpired();
  }
  if (mToken == 0) {
    mSeen.reset();
    return LeaseAction::None;
  }
  mReleasing = true;
  mCallPending = true;
  return LeaseAction::Write;
}

// Earliest time at which the lease last read may be acquired.
TimePoint
LeaseStep::AcquirableFrom() const
{
  if (IsOwn(*mSeen)) {
    return mSeenAt;
  }
  bool free = mSeen->mHolder.empty() || SeenHasExpired();
  Millis remaining = free ? Millis(0) : mTimes.mLength;
  return mSeenAt + remaining + mTimes.mYield;
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
  mCallPending = false;
  mNextActionAt = aNow;
  RecordSeen(aRecord.value_or(LeaseRecord()), aNow);
}

void
LeaseStep::OnWritten(int64_t aRevision, TimePoint aSentAt, TimePoint aNow)
{
  mCallPending = false;
  if (mReleasing) {
    FinishRelease(aNow);
    return;
  }
  if (mToken == 0) {
    // Another holder may have sent orders just before its lease ended.
    mActFrom = NoOtherHolderBefore() ? aNow : aNow + mTimes.mSilence;
  }
  LeaseRecord written = WantedRecord();
  written.mRevision = aRevision;
  mToken = written.mToken;
  mSeen = written;
  mSeenAt = aNow;
  mExpiresAt = aSentAt + mTimes.mLength;
  mNextActionAt = mWanted ? aSentAt + mTimes.mRenew : aNow;
}

void
LeaseStep::OnConflict(const std::optional<LeaseRecord>& aRecord, TimePoint aNow)
{
  mCallPending = false;
  if (mReleasing) {
    FinishRelease(aNow);
    return;
  }
  // A write of this process whose answer was lost shows up as a conflict with
  // itself. The token is kept, under the revision reported.
  if (mToken > 0 && aRecord && IsOwn(*aRecord) && aRecord->mToken == mToken) {
    mSeen = aRecord;
    mNextActionAt = aNow;
    return;
  }
  mToken = 0;
  mSeen.reset();
  if (aRecord) {
    RecordSeen(*aRecord, aNow);
  }
  mNextActionAt = aNow + mTimes.mRetry;
}

void
LeaseStep::OnFailed(TimePoint aNow)
{
  mCallPending = false;
  mNextActionAt = aNow + mTimes.mRetry;
  mReleasing = false; // retried until the lease expires
}

void
LeaseStep::OnHolderAnnounced(const std::string& aHolder, TimePoint aNow)
{
  if (aHolder != mSelf) {
    mHolderHeard = true;
    mLastHeardAt = aNow;
  }
}

void
LeaseStep::OnHolderReleased(TimePoint aNow)
{
  mHolderHeard = false;
  if (mToken == 0 && !mCallPending) {
    mSeen.reset();
    mNextActionAt = aNow;
  }
}

void
LeaseStep::OnHolderExpired(const std::string& aHolder,
                           int64_t aToken,
                           TimePoint aNow)
{
  if (aHolder == mExpiredHolder && aToken == mExpiredHolderToken) {
    return;
  }
  mExpiredHolder = aHolder;
  mExpiredHolderToken = aToken;
  if (mToken == 0 && !mCallPending && mSeen && SeenHasExpired()) {
    mNextActionAt = aNow;
  }
}

void
LeaseStep::RequestReread(TimePoint aNow)
{
  if (mToken == 0 && !mCallPending) {
    mRereadNeeded = true;
    mNextActionAt = aNow;
  }
}

void
LeaseStep::RequestRenewal(TimePoint aNow)
{
  if (mToken > 0 && !mCallPending) {
    mNextActionAt = std::min(mNextActionAt, aNow);
  }
}

void
LeaseStep::FinishRelease(TimePoint aNow)
{
  mReleasing = false;
  mToken = 0;
  mSeen.reset();
  mNextActionAt = aNow;
}

void
LeaseStep::SetWanted(bool aWanted, TimePoint aNow)
{
  if (aWanted != mWanted) {
    mWanted = aWanted;
    mNextActionAt = aNow;
  }
}

} // namespace caraway
