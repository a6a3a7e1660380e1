#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>

#include "decide/ClaimStep.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

struct PendingWrite
{
  ClaimRecord mRecord;
  int64_t mExpected;
};

struct Attempt
{
  ClaimState mState;
  ClaimAction mAction;
  bool mStarted = false;
  bool mDone = false;
  bool mDead = false;      // its instance was killed
  bool mForwarded = false; // as recorded by ClaimDriver
  int mRuns = 0;
};

// One order, its stored claim, and attempts at several instances.
struct ClaimModel
{
  ClaimRecord mRecord;
  int64_t mVersion = 0;
  std::vector<PendingWrite> mLateWrites; // writes that may still take effect
  std::vector<Attempt> mAttempts;
  std::map<std::string, size_t> mByNonce;
  int mRuns = 0;

  size_t Add(TimePoint aNow)
  {
    Attempt attempt;
    attempt.mState.mSelf = "i" + std::to_string(mAttempts.size());
    attempt.mState.mNonce = "n" + std::to_string(mAttempts.size());
    attempt.mState.mBodyDigest = "body";
    attempt.mState.mDeadline = aNow + Seconds(10);
    mByNonce[attempt.mState.mNonce] = mAttempts.size();
    mAttempts.push_back(attempt);
    return mAttempts.size() - 1;
  }

  bool Apply(const PendingWrite& aWrite)
  {
    if (aWrite.mExpected != mVersion) {
      return false;
    }
    mRecord = aWrite.mRecord;
    ++mVersion;
    return true;
  }

  ClaimEvent CurrentRecord() const
  {
    ClaimEvent event;
    event.mKind =
      mVersion == 0 ? ClaimEventKind::Absent : ClaimEventKind::RecordPresent;
    event.mVersion = mVersion;
    event.mRecord = mRecord;
    return event;
  }

  // The write takes effect with a reply, takes effect but the reply is lost, is
  // lost itself, or is late.
  ClaimEvent Write(const Attempt& aAttempt,
                   ClaimRecordState aState,
                   int64_t aExpected,
                   RandomChoices& aChoices)
  {
    PendingWrite write;
    write.mExpected = aExpected;
    write.mRecord.mState = aState;
    write.mRecord.mBodyDigest = aAttempt.mState.mBodyDigest;
    write.mRecord.mCreator = aAttempt.mState.mSelf;
    write.mRecord.mNonce = aAttempt.mState.mNonce;
    write.mRecord.mAnswer = aAttempt.mState.mAnswer;
    ClaimEvent event;
    event.mKind = ClaimEventKind::NoPlatform;
    switch (aChoices.Below(6)) {
      case 0:
        Apply(write);
        return event;
      case 1:
        return event;
      case 2:
        mLateWrites.push_back(write);
        return event;
      default:
        if (!Apply(write)) {
          return CurrentRecord();
        }
        event.mKind = ClaimEventKind::Written;
        event.mVersion = mVersion;
        return event;
    }
  }

  ClaimEvent QueryPeer(const ClaimAction& aAction, RandomChoices& aChoices)
  {
    ClaimEvent event;
    event.mKind = ClaimEventKind::PeerUnknown;
    const Attempt& other = mAttempts[mByNonce.at(aAction.mNonce)];
    if (other.mDead || aChoices.Below(5) == 0) {
      return event;
    }
    if (!other.mDone) {
      event.mKind = ClaimEventKind::PeerRunning;
    } else if (!other.mForwarded) {
      event.mKind = ClaimEventKind::PeerGaveUp;
    } else if (other.mAction.mKind == ClaimActionKind::FinishAnswer) {
      event.mKind = ClaimEventKind::PeerAnswered;
      event.mRecord.mAnswer = other.mAction.mAnswer;
    } else {
      event.mKind = ClaimEventKind::PeerLost;
    }
    return event;
  }

  ClaimEvent ForwardOrder(Attempt& aAttempt, RandomChoices& aChoices)
  {
    ClaimEvent event;
    int outcome = aChoices.Below(6);
    if (outcome == 0) {
      event.mKind = ClaimEventKind::NotForwarded;
      event.mEndpointsLeft = aChoices.Below(2) == 0;
      return event;
    }
    bool runs = outcome != 1; // lost before the endpoint read it
    if (runs) {
      ++mRuns;
      ++aAttempt.mRuns;
    }
    event.mKind =
      outcome <= 2 ? ClaimEventKind::AnswerLost : ClaimEventKind::Answered;
    event.mRecord.mAnswer.mStatus = 200;
    event.mRecord.mAnswer.mBody = "ran";
    return event;
  }

  ClaimEvent Perform(Attempt& aAttempt, RandomChoices& aChoices)
  {
    const ClaimAction& action = aAttempt.mAction;
    switch (action.mKind) {
      case ClaimActionKind::Create:
        return Write(aAttempt, ClaimRecordState::Claimed, 0, aChoices);
      case ClaimActionKind::TakeOver:
        return Write(
          aAttempt, ClaimRecordState::Claimed, action.mVersion, aChoices);
      case ClaimActionKind::StoreAnswer:
        return Write(
          aAttempt, ClaimRecordState::Answered, action.mVersion, aChoices);
      case ClaimActionKind::StoreLost:
        return Write(
          aAttempt, ClaimRecordState::Lost, action.mVersion, aChoices);
      case ClaimActionKind::Release:
        // An attempt that releases its claim reports "not run" next.
        RC_ASSERT(mRuns == 0);
        return Write(
          aAttempt, ClaimRecordState::Released, action.mVersion, aChoices);
      case ClaimActionKind::Read:
        if (aChoices.Below(4) == 0) {
          ClaimEvent event;
          event.mKind = ClaimEventKind::NoPlatform;
          return event;
        }
        return CurrentRecord();
      case ClaimActionKind::QueryCreator:
        return QueryPeer(action, aChoices);
      default:
        return ForwardOrder(aAttempt, aChoices);
    }
  }

  void Step(Attempt& aAttempt, RandomChoices& aChoices, TimePoint aNow)
  {
    ClaimEvent event;
    if (aAttempt.mStarted) {
      event = Perform(aAttempt, aChoices);
      aAttempt.mForwarded = aAttempt.mForwarded ||
                            event.mKind == ClaimEventKind::Answered ||
                            event.mKind == ClaimEventKind::AnswerLost;
    }
    aAttempt.mStarted = true;
    aAttempt.mAction = ClaimStep(aAttempt.mState, event, aNow);
    bool refused = aAttempt.mAction.mKind == ClaimActionKind::FinishRefuse;
    aAttempt.mDone =
      refused || aAttempt.mAction.mKind == ClaimActionKind::FinishAnswer;
    if (refused && aAttempt.mAction.mRun == RunState::NotRun) {
      RC_ASSERT(aAttempt.mRuns == 0);
      RC_ASSERT(aAttempt.mState.mHoldsClaim);
    }
    if (aAttempt.mAction.mKind == ClaimActionKind::FinishAnswer) {
      RC_ASSERT(mRuns == 1);
    }
  }
};

} // namespace

// Guards against an order that runs twice, and against a false "not run". One
// order is sent to several instances at once and again. In any order: writes
// are lost, get late or no replies, or take effect after their writer gave up;
// instances die, freeze (aren't scheduled) and resume; peers don't reply;
// endpoints refuse connections, or run the order and drop the answer.
RC_GTEST_PROP(Claim, RunsAtMostOnceAndNotRunIsTrue, ())
{
  RandomChoices choices = RandomChoices::OfLength(300);
  ClaimModel model;
  TimePoint now = TimePoint(Seconds(1000));
  model.Add(now);
  while (!choices.Ended()) {
    now += Millis(choices.Below(200) * 10);
    int what = choices.Below(12);
    if (what == 0 && model.mAttempts.size() < 5) {
      model.Add(now);
    } else if (what == 1 && !model.mLateWrites.empty()) {
      model.Apply(model.mLateWrites.front());
      model.mLateWrites.erase(model.mLateWrites.begin());
    } else {
      int count = static_cast<int>(model.mAttempts.size());
      Attempt& attempt =
        model.mAttempts[static_cast<size_t>(choices.Below(count))];
      if (what == 2) {
        attempt.mDead = true;
      } else if (!attempt.mDead && !attempt.mDone) {
        model.Step(attempt, choices, now);
      }
    }
    RC_ASSERT(model.mRuns <= 1);
  }
}

// Guards against an order that stays refused for ever because an attempt
// released its claim: after a fault before the order was forwarded, the same
// order under the same key is carried out.
TEST(Claim, ReleasedOrderCanBeSentAgain)
{
  TimePoint now = TimePoint(Seconds(1000));
  ClaimState first;
  first.mNonce = "n0";
  first.mSelf = "i0";
  first.mDeadline = now + Seconds(1);
  ClaimEvent event;
  EXPECT_EQ(ClaimStep(first, event, now).mKind, ClaimActionKind::Create);
  event.mKind = ClaimEventKind::Written;
  event.mVersion = 1;
  // The attempt resumes from a pause after its deadline.
  now += Seconds(2);
  ClaimAction action = ClaimStep(first, event, now);
  EXPECT_EQ(action.mKind, ClaimActionKind::Release);
  event.mKind = ClaimEventKind::NoPlatform;
  action = ClaimStep(first, event, now);
  EXPECT_EQ(action.mKind, ClaimActionKind::FinishRefuse);
  EXPECT_EQ(action.mRun, RunState::NotRun);

  ClaimState second;
  second.mNonce = "n1";
  second.mDeadline = now + Seconds(1);
  ClaimStep(second, {}, now);
  ClaimEvent stored;
  stored.mKind = ClaimEventKind::RecordPresent;
  stored.mVersion = 1;
  stored.mRecord.mNonce = "n0";
  stored.mRecord.mCreator = "i0";
  action = ClaimStep(second, stored, now);
  ASSERT_EQ(action.mKind, ClaimActionKind::QueryCreator);
  EXPECT_EQ(action.mPeer, "i0");
  ClaimEvent gaveUp;
  gaveUp.mKind = ClaimEventKind::PeerGaveUp;
  action = ClaimStep(second, gaveUp, now);
  ASSERT_EQ(action.mKind, ClaimActionKind::TakeOver);
  EXPECT_EQ(action.mVersion, 1);
  event.mKind = ClaimEventKind::Written;
  event.mVersion = 2;
  EXPECT_EQ(ClaimStep(second, event, now).mKind, ClaimActionKind::ForwardOrder);
}

} // namespace caraway
