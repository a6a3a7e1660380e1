// LeaseStep.h: who holds a lease that lies in the object store.
//
// The store's conditional update is the only judge. A holder acts until its
// lease ends by its own clock, counted from when it asked for the renewal. A
// successor reads the object, waits a whole lease, and replaces that very
// revision: when that succeeds nobody renewed meanwhile, so the former lease
// has ended, wherever its holder is.
#ifndef caraway_decide_LeaseStep_h
#define caraway_decide_LeaseStep_h

#include <cstdint>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// The lease object as the store keeps it.
struct LeaseRecord
{
  std::string mHolder;   // "" = given up
  int64_t mToken = 0;    // rises with each taking
  int64_t mRevision = 0; // of the object; 0 = there is none
  // mHolder has waited out the silence after the holder before it.
  bool mSettled = false;
};

struct LeaseTimes
{
  // Outlives the outages of the store that are usual, so that these don't
  // stop all orders; a holder that is gone for good costs so much waiting.
  Millis mLength{ 6000 };
  Millis mRenew{ 2000 };   // a third: two renewals may fail
  Millis mRetry{ 300 };    // after a call that failed
  Millis mSilence{ 3000 }; // after another holder's end, before acting
  Millis mHolderTimeout{
    1500
  };                  // a holder that was heard of so lately is alive
  Millis mYield{ 0 }; // a free lease is left to others for so long
};

enum class LeaseAction
{
  None,
  Read,  // the object
  Write, // WantedRecord() under its revision
};

class LeaseStep
{
public:
  LeaseStep(std::string aSelf, LeaseTimes aTimes);

  // What is due now; the caller then reports how it ended.
  LeaseAction Due(TimePoint aNow);
  LeaseRecord WantedRecord() const;

  void OnRead(const std::optional<LeaseRecord>& aRecord, TimePoint aNow);
  void OnWritten(int64_t aRevision, TimePoint aSentAt, TimePoint aNow);
  // aRecord: the object as it is, when the store told.
  void OnConflict(const std::optional<LeaseRecord>& aRecord, TimePoint aNow);
  // No answer, or a refusal: a write may or may not have been done.
  void OnFailed(TimePoint aNow);
  // Another instance says that it holds the lease.
  void OnClaim(const std::string& aHolder, TimePoint aNow);

  // It says so no longer, and lives: what was read before is outdated.
  void OnHolderReleased(TimePoint aNow);

  // The record may have changed: it is read again, and whoever holds it still
  // keeps the time that it was seen to hold it.
  void LookAgain(TimePoint aNow);

  // Whether this instance may take and keep the lease. While not, it acts no
  // more, gives up what it holds with a last write, and asks for nothing.
  void SetWanted(bool aWanted, TimePoint aNow);
  // For good.
  void Release(TimePoint aNow) { SetWanted(false, aNow); }
  // A free lease is left to others for so long.
  void SetYield(Millis aYield) { mTimes.mYield = aYield; }

  bool Holds(TimePoint aNow) const
  {
    return mWanted && mToken > 0 && aNow < mExpiresAt;
  }
  // Holds it, and the former holder's silence is over.
  bool MayAct(TimePoint aNow) const { return Holds(aNow) && aNow >= mActFrom; }
  int64_t Token() const { return mToken; }
  // It isn't wanted, and nothing is left to give up.
  bool Released() const { return !mWanted && !mCallPending && mToken == 0; }
  // Of the lease as last read; "" = none.
  std::string SeenHolder() const { return mSeen ? mSeen->mHolder : ""; }

private:
  LeaseAction BeginRelease(TimePoint aNow);
  void FinishRelease(TimePoint aNow);
  TimePoint TakeableFrom() const;
  void RecordSeen(const LeaseRecord& aRecord, TimePoint aNow);
  bool IsOwn(const LeaseRecord& aRecord) const;
  bool NoOtherHolderBefore() const;

  std::string mSelf;
  LeaseTimes mTimes;
  std::optional<LeaseRecord> mSeen; // as last read
  TimePoint mSeenAt{};              // when that revision was first read
  int64_t mToken = 0;               // > 0 while taken by this process
  TimePoint mExpiresAt{};
  TimePoint mActFrom{};
  TimePoint mNextActionAt{};
  TimePoint mLastHeardAt{};
  bool mHolderHeard = false;
  bool mCallPending = false;
  bool mWanted = true;
  bool mSettled = false;   // as the write under way tells it
  bool mReleasing = false; // the write under way does
  bool mRereadNeeded = false;
};

} // namespace caraway

#endif
