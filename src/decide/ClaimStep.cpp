#include "decide/ClaimStep.h"

namespace caraway {

namespace {

ClaimAction
Make(ClaimActionKind aKind, int64_t aVersion = 0)
{
  ClaimAction action;
  action.mKind = aKind;
  action.mVersion = aVersion;
  return action;
}

ClaimAction
Refuse(ClaimState& aState, ErrorKind aError, RunState aRun)
{
  aState.mPhase = ClaimPhase::Done;
  ClaimAction action;
  action.mError = aError;
  action.mRun = aRun;
  return action;
}

ClaimAction
Refuse(ClaimState& aState, ErrorKind aError)
{
  return Refuse(aState, aError, ErrorAnswerOf(aError).mRun);
}

ClaimAction
Answer(ClaimState& aState, const ClaimAnswer& aAnswer, bool aReplayed)
{
  if (!aAnswer.mKept && aReplayed) {
    return Refuse(aState, ErrorKind::AnswerNotKept);
  }
  aState.mPhase = ClaimPhase::Done;
  ClaimAction action = Make(ClaimActionKind::FinishAnswer);
  action.mAnswer = aAnswer;
  action.mReplayed = aReplayed;
  return action;
}

// Last check of the deadline before bytes are sent: an attempt that was paused
// since the previous check may resume after its caller was told that the
// deadline had passed.
ClaimAction
ForwardOrder(ClaimState& aState, TimePoint aNow)
{
  if (aNow >= aState.mDeadline) {
    aState.mPhase = ClaimPhase::Releasing;
    aState.mReleaseError = ErrorKind::DeadlinePassed;
    return Make(ClaimActionKind::Release, aState.mVersion);
  }
  aState.mPhase = ClaimPhase::Forwarding;
  return Make(ClaimActionKind::ForwardOrder);
}

ClaimAction
Claim(ClaimState& aState, int64_t aReplaces)
{
  aState.mPhase = ClaimPhase::Claiming;
  return aReplaces == 0 ? Make(ClaimActionKind::Create)
                        : Make(ClaimActionKind::TakeOver, aReplaces);
}

ClaimAction
OnClaimHeld(ClaimState& aState, int64_t aVersion, TimePoint aNow)
{
  aState.mHoldsClaim = true;
  aState.mVersion = aVersion;
  return ForwardOrder(aState, aNow);
}

// Once refused, this attempt forwards nothing, even if its create takes effect
// later. But an earlier attempt elsewhere may have run the order, which only
// the platform knows, so the refusal never claims "not run".
ClaimAction
OnPlatformError(ClaimState& aState, ClaimActionKind aNext, TimePoint aNow)
{
  if (--aState.mPlatformRetriesLeft < 0 || aNow >= aState.mDeadline) {
    return Refuse(aState, ErrorKind::ClaimUnknown);
  }
  aState.mPhase = ClaimPhase::Rereading;
  return Make(aNext);
}

ClaimAction
OnCurrentRecord(ClaimState& aState, const ClaimEvent& aEvent, TimePoint aNow)
{
  const ClaimRecord& record = aEvent.mRecord;
  if (record.mBodyDigest != aState.mBodyDigest) {
    return Refuse(aState, ErrorKind::IdempotencyConflict);
  }
  switch (record.mState) {
    case ClaimRecordState::Answered:
      return Answer(aState, record.mAnswer, true);
    case ClaimRecordState::Lost:
      return Refuse(aState, ErrorKind::OutcomeUnknown);
    case ClaimRecordState::Released:
      return Claim(aState, aEvent.mVersion);
    case ClaimRecordState::Claimed:
      break;
  }
  if (record.mNonce == aState.mNonce) {
    return OnClaimHeld(aState, aEvent.mVersion, aNow);
  }
  if (aNow >= aState.mDeadline) {
    return Refuse(aState, ErrorKind::OutcomePending);
  }
  aState.mPhase = ClaimPhase::QueryingCreator;
  aState.mVersion = aEvent.mVersion;
  ClaimAction action = Make(ClaimActionKind::QueryCreator);
  action.mPeer = record.mCreator;
  action.mNonce = record.mNonce;
  return action;
}

ClaimAction
OnClaiming(ClaimState& aState, const ClaimEvent& aEvent, TimePoint aNow)
{
  switch (aEvent.mKind) {
    case ClaimEventKind::Written:
      return OnClaimHeld(aState, aEvent.mVersion, aNow);
    case ClaimEventKind::RecordPresent:
      return OnCurrentRecord(aState, aEvent, aNow);
    case ClaimEventKind::Absent:
      // The first create may still be in flight. A second one with the same
      // nonce is harmless, whichever of the two takes effect.
      return Claim(aState, 0);
    default:
      return OnPlatformError(aState, ClaimActionKind::Read, aNow);
  }
}

ClaimAction
OnQueryingCreator(ClaimState& aState, const ClaimEvent& aEvent, TimePoint aNow)
{
  switch (aEvent.mKind) {
    case ClaimEventKind::PeerAnswered:
      return Answer(aState, aEvent.mRecord.mAnswer, true);
    case ClaimEventKind::PeerGaveUp:
      return Claim(aState, aState.mVersion);
    case ClaimEventKind::PeerRunning:
      if (aNow >= aState.mDeadline) {
        return Refuse(aState, ErrorKind::OutcomePending);
      }
      // Read first: the creator may have stored the answer meanwhile.
      aState.mPhase = ClaimPhase::Rereading;
      return Make(ClaimActionKind::Read);
    default:
      return Refuse(aState, ErrorKind::OutcomeUnknown);
  }
}

ClaimAction
OnForwarding(ClaimState& aState, const ClaimEvent& aEvent, TimePoint aNow)
{
  switch (aEvent.mKind) {
    case ClaimEventKind::Answered:
      aState.mAnswer = aEvent.mRecord.mAnswer;
      aState.mPhase = ClaimPhase::StoringAnswer;
      return Make(ClaimActionKind::StoreAnswer, aState.mVersion);
    case ClaimEventKind::NotForwarded:
      if (aEvent.mEndpointsLeft) {
        return ForwardOrder(aState, aNow);
      }
      aState.mPhase = ClaimPhase::Releasing;
      aState.mReleaseError = ErrorKind::NoEndpoint;
      return Make(ClaimActionKind::Release, aState.mVersion);
    default:
      aState.mPhase = ClaimPhase::Releasing;
      aState.mReleaseError = ErrorKind::OutcomeUnknown;
      return Make(ClaimActionKind::StoreLost, aState.mVersion);
  }
}

} // namespace

ClaimAction
ClaimStep(ClaimState& aState, const ClaimEvent& aEvent, TimePoint aNow)
{
  switch (aState.mPhase) {
    case ClaimPhase::Idle:
      return Claim(aState, 0);
    case ClaimPhase::Claiming:
    case ClaimPhase::Rereading:
      return OnClaiming(aState, aEvent, aNow);
    case ClaimPhase::QueryingCreator:
      return OnQueryingCreator(aState, aEvent, aNow);
    case ClaimPhase::Forwarding:
      return OnForwarding(aState, aEvent, aNow);
    case ClaimPhase::StoringAnswer:
      // The caller gets the answer whether or not it could be stored. Until
      // it is stored, this instance reports it to peers that query the nonce.
      return Answer(aState, aState.mAnswer, false);
    case ClaimPhase::Releasing:
      return Refuse(aState, aState.mReleaseError);
    case ClaimPhase::Done:
      break;
  }
  return Refuse(aState, ErrorKind::Internal, RunState::MayHaveRun);
}

} // namespace caraway
