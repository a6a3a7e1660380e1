// ClaimStep.h: at-most-once execution as a pure state machine.
//
// Describes one attempt at one non-repeatable order by one instance. The
// driver carries out each action and reports the result as an event. Mutual
// exclusion rests on the platform's conditional create: only the attempt whose
// nonce is in the stored claim forwards the order, and a stored claim is taken
// over only after its holder has confirmed that it will never forward the
// order.
#ifndef caraway_decide_ClaimStep_h
#define caraway_decide_ClaimStep_h

#include <string>

#include "caraway/ErrorKind.h"
#include "caraway/Time.h"
#include "decide/ClaimRecord.h"

namespace caraway {

enum class ClaimActionKind
{
  Create,       // conditional create with this attempt's nonce
  TakeOver,     // conditional replace of mVersion with this attempt's nonce
  Read,         // read the claim again
  QueryCreator, // ask mPeer for the status of mNonce; the call may block a bit
  ForwardOrder, // send the order to an endpoint, once
  StoreAnswer,  // conditional replace: Answered
  StoreLost,    // conditional replace: Lost; then finish anyway
  Release,      // conditional replace: Released; then finish anyway
  FinishAnswer, // return mAnswer to the caller
  FinishRefuse, // refuse with mError; mRun: whether the order may have run
};

struct ClaimAction
{
  ClaimActionKind mKind = ClaimActionKind::FinishRefuse;
  int64_t mVersion = 0; // TakeOver, Store*, Release
  std::string mPeer;    // QueryCreator: incarnation
  std::string mNonce;   // QueryCreator
  ErrorKind mError = ErrorKind::Internal;
  RunState mRun = RunState::NotRun;
  ClaimAnswer mAnswer;
  bool mReplayed = false; // mAnswer was stored by an earlier call
};

enum class ClaimEventKind
{
  Start,
  Written,       // the attempt's conditional write took effect at mVersion
  RecordPresent, // stored: mRecord at mVersion; may be the attempt's own
  Absent,        // no record is stored
  NoPlatform,    // platform did not answer; a write may take effect, even later
  PeerRunning,   // the creator is still working on the order
  PeerGaveUp,    // the creator will never forward it
  PeerAnswered,  // the creator has the answer: mRecord.mAnswer
  PeerLost,      // the creator forwarded it and doesn't know the outcome
  PeerUnknown,   // unreachable, or restarted since
  NotForwarded,  // no byte was sent; mEndpointsLeft: others can be tried
  Answered,      // complete answer in mRecord.mAnswer
  AnswerLost,    // sent, but no complete answer arrived
};

struct ClaimEvent
{
  ClaimEventKind mKind = ClaimEventKind::Start;
  int64_t mVersion = 0;
  ClaimRecord mRecord;
  bool mEndpointsLeft = false;
};

enum class ClaimPhase
{
  Idle,
  Claiming,        // this attempt's claim may take effect at any time
  Rereading,       // reading again: platform error, or the creator still runs
  QueryingCreator, // another attempt holds the claim
  Forwarding,      // the claim is held; bytes may have been sent
  StoringAnswer,   // the answer has arrived and is being stored
  Releasing,
  Done,
};

struct ClaimState
{
  // Set by the driver before Start.
  std::string mSelf;  // incarnation of this instance
  std::string mNonce; // random, unique to this attempt
  std::string mBodyDigest;
  TimePoint mDeadline{};        // the order is not forwarded after it
  int mPlatformRetriesLeft = 4; // platform errors tolerated

  ClaimPhase mPhase = ClaimPhase::Idle;
  int64_t mVersion = 0;     // of the claim: this attempt's, or the one queried
  bool mHoldsClaim = false; // the stored claim has mNonce
  ClaimAnswer mAnswer;
  ErrorKind mReleaseError = ErrorKind::NoEndpoint;
};

// Status of an attempt as reported to an instance that queries its nonce.
// GaveUp is final: the attempt's phase stays Done, so the other instance may
// take the claim over.
enum class ClaimAttemptStatus
{
  Running,
  GaveUp,
  Answered,
  Lost,
};

ClaimAction
ClaimStep(ClaimState& aState, const ClaimEvent& aEvent, TimePoint aNow);

} // namespace caraway

#endif
