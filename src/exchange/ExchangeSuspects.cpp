// ExchangeSuspects.cpp: requests that crash the servers that answer them: what
// is told of each run, and when a request is refused.
#include "exchange/Exchange.h"

#include "base/Digest.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

// A server that has been answering for this long hasn't crashed on the request.
// Servers crash within some hundred milliseconds after the first bytes.
constexpr Millis kYoungAnswer{ 1000 };

// Between two notices that an answer goes on well.
constexpr Millis kGoodInterval{ 500 };

// Of a digest: too many for callers to find two requests of one name.
constexpr size_t kNameDigits = 32;

} // namespace

// Parsed only when something is suspected, so that the other requests don't pay
// for it.
const PromptParts&
Exchange::SharedParts()
{
  if (!mSharedParts) {
    mSharedParts = wire::ReadSharedParts(mRequest.mHead);
  }
  return *mSharedParts;
}

std::string
Exchange::SharedPartsText()
{
  return Joined(SharedParts());
}

// By its content, which a caller repeats under a new id, and, if its stream may
// be resumed, by the attempt that began the stream, which each resumption
// names. Made only while a server has ended lately.
const RequestNames&
Exchange::Names()
{
  if (!mNames) {
    std::string content = mTenant + "\n" +
                          wire::RequestContent(mRequest.mHead) + "\n" +
                          *mRequestBody;
    mNames = { DigestHex(content).substr(0, kNameDigits) };
    if (Resumable()) {
      mNames->push_back("stream " + StreamId());
    }
  }
  return *mNames;
}

// ---- Refusals

// Checked before each send: a part may be blocked while its requests wait.
bool
Exchange::RefuseIfBlocked()
{
  if (mCrashWatch.Idle()) {
    return false;
  }
  if (RefuseIfHarmful()) {
    return true;
  }
  if (mProbing) {
    return false;
  }
  auto block = mCrashWatch.BlockOf(SharedParts());
  if (block) {
    RefuseBlocked(*block);
  }
  return block.has_value();
}

bool
Exchange::RefuseIfHarmful()
{
  auto wait = mCrashWatch.RefusedFor(Names());
  if (!wait) {
    return false;
  }
  mState.mLog.Line("request_blocked")
    .Text("id", mFacts.mId)
    .Text("request", Joined(Names()));
  Refuse(ErrorKind::RequestHarmful, *wait, "servers end under the request");
  return true;
}

void
Exchange::RefuseBlocked(const CrashWatch::Block& aBlock)
{
  mState.mLog.Line("request_blocked")
    .Text("id", mFacts.mId)
    .Text("parts", Joined(aBlock.mParts));
  Refuse(ErrorKind::PromptBlocked,
         aBlock.mRetryAfter,
         "a part of its prompt crashes servers");
}

// Returns true if the request is refused, or first asks whether it may find out
// that its part has become harmless.
bool
Exchange::AwaitProbe()
{
  if (mCrashWatch.Idle()) {
    return false;
  }
  if (RefuseIfHarmful()) {
    return true;
  }
  auto block = mCrashWatch.BlockOf(SharedParts());
  if (!block) {
    return false;
  }
  if (!block->mProbeDue) {
    RefuseBlocked(*block);
    return true;
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mCrashWatch.RequestProbe(block->mParts, [weak](bool aGranted) {
    auto exchange = weak.lock();
    if (exchange && !exchange->mFinished) {
      exchange->OnProbeAnswer(aGranted);
    }
  });
  return true;
}

void
Exchange::OnProbeAnswer(bool aGranted)
{
  mProbing = aGranted;
  if (!RefuseIfBlocked()) {
    Admit();
  }
}

// ---- What a run tells

bool
Exchange::AnswerIsYoung() const
{
  return mAnswerBeganAt == TimePoint() ||
         mState.AgeOf(mAnswerBeganAt) < kYoungAnswer;
}

void
Exchange::WatchBytes()
{
  if (mForwarding || mCrashWatch.Idle()) {
    return;
  }
  mCrashWatch.OnBytes(RunLife(), mSentAt);
  bool told =
    mToldGoodAt != TimePoint() && mState.AgeOf(mToldGoodAt) < kGoodInterval;
  if (mStreaming && !AnswerIsYoung() && !told) {
    mToldGoodAt = mState.Now();
    mCrashWatch.OnGoodAnswer(SharedParts());
  }
}

void
Exchange::WatchBroken(CallOutcome aOutcome)
{
  if (mForwarding || aOutcome != CallOutcome::Interrupted) {
    return;
  }
  mCrashWatch.OnRunEnded(Names(), { RunLife(), mSentAt, mEndsBefore });
  mState.mLog.Line("run_ended")
    .Text("id", mFacts.mId)
    .Text("request", Joined(Names()))
    .Text("life", RunLife().Name())
    .Count("before", mEndsBefore)
    .Count("ends", mCrashWatch.EndsOf(Names()));
  // A connection that ends before an answer was begun may be one too many for
  // its server, or have reached none.
  if (!mHasAnswerHead) {
    mCrashWatch.OnUnsureEnd(RunLife(), SharedParts());
    return;
  }
  mCrashWatch.OnBroken(RunLife(),
                       AnswerIsYoung() ? SharedParts() : PromptParts());
}

// A failure of the server's own proves nothing: it may have been made before
// the prompt was looked at. Nor does the end of an answer that its connection
// ended: a server that crashes between two events ends it in the same way.
void
Exchange::WatchComplete()
{
  if (mForwarding || mAnswer.mStatus < 200 || mAnswer.mStatus >= 300) {
    return;
  }
  if (mAnswer.mFraming == BodyFraming::UntilClose && AnswerIsYoung()) {
    mCrashWatch.OnUnsureEnd(RunLife(), SharedParts());
  } else if (!mCrashWatch.Idle()) {
    mCrashWatch.OnGoodAnswer(SharedParts());
    mCrashWatch.OnServed(Names());
  }
}

// Whoever repeats the request has its answer, and the instance that it asks
// then must know of the end.
void
Exchange::FailOnceStored()
{
  if (mCrashWatch.Idle()) {
    Fail();
    return;
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mCrashWatch.WhenEndsStored([weak] {
    auto exchange = weak.lock();
    if (exchange && !exchange->mFinished) {
      exchange->Fail();
    }
  });
}

// No complete answer came from the server, and no other one is asked.
void
Exchange::Fail()
{
  if (mStreaming) {
    mCaller->Abort();
    End(0, "server ended the stream early");
    return;
  }
  Refuse(
    ErrorKind::OutcomeUnknown, Millis(0), "no complete answer from the server");
}

} // namespace caraway
