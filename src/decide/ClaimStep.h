// ClaimStep.h: at most once, as a pure step.
//
// One attempt at one non-repeatable order by one instance. The driver does
// what the action says and feeds back what happened. The fence is the
// platform's conditional create: an order is handed on only by the attempt
// whose nonce the stored claim holds, and a stored claim changes hands only
// when its holder has said for good that it won't hand the order on.
#ifndef caraway_decide_ClaimStep_h
#define caraway_decide_ClaimStep_h

#include <string>

#include "caraway/ErrorKind.h"
#include "caraway/Time.h"
#include "decide/ClaimRecord.h"

namespace caraway {

enum class ClaimActionKind
{
  Create,       // conditional create with our nonce
  TakeOver,     // conditional replace of mVersion with our nonce
  Read,         // read the claim again
  QueryCreator, // ask mPeer about mNonce; may wait a little there
  ForwardOrder, // offer the order to an endpoint, once
  StoreAnswer,  // conditional replace: Answered
  StoreLost,    // conditional replace: Lost; then finish anyway
  Release,      // conditional replace: Released; then finish anyway
  FinishAnswer, // give mAnswer to the caller
  FinishRefuse, // refuse with mError; mRun is true of this order
};

struct ClaimAction
{
  ClaimActionKind mKind = ClaimActionKind::FinishRefuse;
  int64_t mVersion = 0; // TakeOver, Keep*, Release
  std::string mPeer;    // QueryCreator: incarnation
  std::string mNonce;   // QueryCreator
  ErrorKind mError = ErrorKind::Internal;
  RunState mRun = RunState::NotRun;
  ClaimAnswer mAnswer;
  bool mReplayed = false; // mAnswer was kept by an earlier call
};

enum class ClaimEventKind
{
  Start,
  Written,      // our conditional write is in force at mVersion
  Standing,     // another record stands: mRecord at mVersion
  Absent,       // no record
  NoPlatform,   // no answer; a write may have taken effect or still may
  PeerRunning,  // the creator is still at it
  PeerGaveUp,   // the creator will never hand it on
  PeerAnswered, // the creator has the answer: mRecord.mAnswer
  PeerLost,     // the creator handed it on and doesn't know the outcome
  PeerUnknown,  // unreachable, or of another life
  NotOffered,   // no byte went out; mEndpointsLeft tells if others may do
  Answered,     // whole answer: mRecord.mAnswer
  AnswerLost,   // offered, no whole answer
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
  Claiming,        // a write of ours may take effect at any time
  Rereading,       // re-reading after an unclear write
  QueryingCreator, // another attempt holds the claim
  Forwarding,      // we hold it; bytes may be out
  StoringAnswer,   // the answer is here, being stored
  Releasing,
  Done,
};

struct ClaimState
{
  // Set by the driver before Start.
  std::string mSelf;  // our incarnation
  std::string mNonce; // drawn for this attempt
  std::string mBodyDigest;
  TimePoint mDeadline{};        // no handing on after it
  int mPlatformRetriesLeft = 4; // unclear platform answers put up with

  ClaimPhase mPhase = ClaimPhase::Idle;
  int64_t mVersion = 0;     // of the claim, once ours
  bool mHoldsClaim = false; // the stored claim holds our nonce
  ClaimAnswer mAnswer;
  ErrorKind mReleaseError = ErrorKind::NoEndpoint;
};

// What this attempt tells another instance that asks about its nonce. The
// answer GaveUp is final: the attempt's state never leaves Done after it.
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
