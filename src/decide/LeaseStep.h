// LeaseStep.h: acquires, renews and releases a lease kept in the object store.
//
// The store's conditional update is the only arbiter. A holder acts until its
// lease expires by its own clock, counted from when the renewal was sent. A
// successor reads the object, waits for a whole lease length, and replaces that
// very revision: if this succeeds, nobody renewed the lease in between, so the
// earlier lease has expired wherever its holder is. A holder that the store
// turns away can't release its lease; it announces that it let it expire, and
// then no wait is needed.
#ifndef caraway_decide_LeaseStep_h
#define caraway_decide_LeaseStep_h

#include <cstdint>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// The lease object as stored.
struct LeaseRecord
{
  std::string mHolder;   // "" = released
  int64_t mToken = 0;    // fencing token; rises with each acquisition
  int64_t mRevision = 0; // of the object; 0 = no object
  // mHolder has waited out the silence after the previous holder.
  bool mSettled = false;
};

struct LeaseTimes
{
  // Longer than the usual outages of the store, so that these don't stop all
  // orders. It is also the time lost when a holder is gone for good.
  Millis mLength{ 6000 };
  Millis mRenew{ 2000 };   // a third of mLength: two renewals may fail
  Millis mRetry{ 300 };    // after a failed call
  Millis mSilence{ 3000 }; // wait after another holder's lease before acting
  // A holder heard from within this time is alive.
  Millis mHolderTimeout{ 1500 };
  Millis mYield{ 0 }; // delay before acquiring a free lease
};

enum class LeaseAction
{
  None,
  Read,  // the lease object
  Write, // WantedRecord(), conditional on its revision
};

class LeaseStep
{
public:
  LeaseStep(std::string aSelf, LeaseTimes aTimes);

  // Returns the action that is due. The caller carries it out and reports the
  // result by one of the On... functions.
  LeaseAction Due(TimePoint aNow);
  LeaseRecord WantedRecord() const;

  void OnRead(const std::optional<LeaseRecord>& aRecord, TimePoint aNow);
  void OnWritten(int64_t aRevision, TimePoint aSentAt, TimePoint aNow);
  // aRecord: the current object, if the store returned it.
  void OnConflict(const std::optional<LeaseRecord>& aRecord, TimePoint aNow);
  // No answer or an error: a write may or may not have been carried out.
  void OnFailed(TimePoint aNow);
  // Another instance announces that it holds the lease.
  void OnHolderAnnounced(const std::string& aHolder, TimePoint aNow);

  // That instance is alive and no longer announces it: what was read before is
  // outdated.
  void OnHolderReleased(TimePoint aNow);

  // Another instance announces that its lease under aToken has expired.
  void OnHolderExpired(const std::string& aHolder,
                       int64_t aToken,
                       TimePoint aNow);

  // The record may have changed and is read again. The time since which its
  // holder was seen is kept.
  void RequestReread(TimePoint aNow);

  // A held lease is renewed now, as what is stored with it has changed.
  void RequestRenewal(TimePoint aNow);

  // Whether this instance may acquire and keep the lease. If not, it stops
  // acting, releases a held lease with a last write, and makes no calls.
  void SetWanted(bool aWanted, TimePoint aNow);
  // Releases the lease for good.
  void Release(TimePoint aNow) { SetWanted(false, aNow); }
  // Sets the delay before acquiring a free lease, which gives other candidates
  // precedence.
  void SetYield(Millis aYield) { mTimes.mYield = aYield; }

  bool Holds(TimePoint aNow) const
  {
    return mWanted && mToken > 0 && aNow < mExpiresAt;
  }
  // Holds the lease, and the silence after the previous holder is over.
  bool MayAct(TimePoint aNow) const { return Holds(aNow) && aNow >= mActFrom; }
  int64_t Token() const { return mToken; }
  // The last token under which this process let its lease expire; it never acts
  // under that token again. 0 = none.
  int64_t ExpiredToken() const { return mExpiredToken; }
  // Not wanted, and nothing is left to release.
  bool Released() const { return !mWanted && !mCallPending && mToken == 0; }
  // Holder of the lease as last read; "" = none.
  std::string SeenHolder() const { return mSeen ? mSeen->mHolder : ""; }

private:
  void DropExpired();
  bool SeenHasExpired() const;
  LeaseAction BeginRelease(TimePoint aNow);
  void FinishRelease(TimePoint aNow);
  TimePoint AcquirableFrom() const;
  void RecordSeen(const LeaseRecord& aRecord, TimePoint aNow);
  bool IsOwn(const LeaseRecord& aRecord) const;
  bool NoOtherHolderBefore() const;

  std::string mSelf;
  LeaseTimes mTimes;
  std::optional<LeaseRecord> mSeen; // as last read
  TimePoint mSeenAt{};              // when that revision was first read
  int64_t mToken = 0;               // 0 = not held by this process
  int64_t mExpiredToken = 0;
  // As last announced by another instance.
  std::string mExpiredHolder;
  int64_t mExpiredHolderToken = 0;
  TimePoint mExpiresAt{};
  TimePoint mActFrom{};
  TimePoint mNextActionAt{};
  TimePoint mLastHeardAt{};
  bool mHolderHeard = false;
  bool mCallPending = false;
  bool mWanted = true;
  bool mSettled = false;   // mSettled of the pending write
  bool mReleasing = false; // the pending write is a release
  bool mRereadNeeded = false;
};

} // namespace caraway

#endif
