#include "exchange/Exchange.h"

#include <algorithm>

#include "entry/ServerLimits.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

// Connections are reused until they have been idle for this share of the
// server's idle timeout. A server may close an older one just as a request is
// sent on it. A non-repeatable request can't be sent again then, so its share
// is smaller.
constexpr double kIdleShareNonRepeatable = 0.4;

constexpr double kIdleShareRepeatable = 0.7;

// Returns the id of the last event in aEvents that has one, "" if none has.
std::string
LastEventId(std::string_view aEvents)
{
  size_t at = aEvents.rfind("id:");
  while (at != std::string_view::npos && at > 0 && aEvents[at - 1] != '\n') {
    at = at == 0 ? std::string_view::npos : aEvents.rfind("id:", at - 1);
  }
  if (at == std::string_view::npos) {
    return "";
  }
  std::string_view id = aEvents.substr(at + 3);
  id = id.substr(0, id.find_first_of("\r\n"));
  while (!id.empty() && id.front() == ' ') {
    id.remove_prefix(1);
  }
  return std::string(id);
}

} // namespace

// ---- One send to a server, and the forwarding of its answer

std::string
Exchange::ServerRequestHead(const Backend& aBackend) const
{
  wire::ServerRequestFields send;
  send.mInstance = aBackend.mEntry.mId;
  send.mTenant = mTenant;
  send.mPriority = mPriority;
  send.mBodyBytes = mRequestBody->size();
  send.mLastEvent = mLastEvent;
  send.mLeft = TimeLeft();
  return wire::WriteServerRequest(mRequest.mHead, send);
}

// Rounded down, so that nobody works past the caller's deadline.
Millis
Exchange::TimeLeft() const
{
  auto left = std::chrono::duration_cast<Millis>(mFinalAnswerBy - mState.Now());
  return std::max(left, Millis(1));
}

void
Exchange::Send(Backend& aBackend)
{
  bool again = MayRerun();
  mForwarding = false;
  mServer = aBackend.mEntry.mId;
  mRunVersion = aBackend.mEntry.mVersion;
  mRunStartTime = aBackend.mEntry.mStartTime;
  mContinues = !mFacts.mLastEvent.empty() || !mLastEvent.empty();
  mTriedServers.insert(mServer);
  ++mSends;
  mSentAt = mState.Now();
  mEndsBefore = mCrashWatch.Idle() ? 0 : mCrashWatch.EndsOf(Names());
  mRunFacts = { mFacts.mExpectedTokens.value_or(0), aBackend.Load() };
  ExpectFirstToken(aBackend);
  mState.mLog.Line("request_sent")
    .Text("id", mFacts.mId)
    .Text("route", mRoute->mName)
    .Text("tenant", mTenant)
    .Number("tokens", mGrant ? mGrant->mTokens : 0)
    .Text("server", mServer)
    .Text("version", aBackend.mEntry.mVersion)
    .Text("model", mFacts.mModel)
    .Text("adapter", mFacts.mAdapter)
    .Number("expected_tokens", mFacts.mExpectedTokens.value_or(0))
    .Flag("resumes", mContinues)
    .Text("resumed_attempt", mFacts.mResumes)
    .Flag("forwarded", mRequest.Forwarded())
    .Count("send", mSends)
    .Count("under_way", aBackend.RequestsInFlight())
    .Number("failing", aBackend.mFailureShare)
    .Number("pace", mFirstTokenFacts ? mFirstTokenFacts->mPace : 0)
    .Ms("expected_first_ms", mExpectedFirst)
    .Count("config", mConfig->mVersion)
    .Ms("connection_ms", mState.AgeOf(mCaller->AcceptedAt()))
    .Ms("waited_ms", mState.AgeOf(mArrived));
  OutboundRequest request;
  request.mAddress = aBackend.mEntry.mAddress;
  request.mPeer = mServer;
  request.mHead = ServerRequestHead(aBackend);
  request.mBody = mRequestBody;
  request.mIdleShare = again ? kIdleShareRepeatable : kIdleShareNonRepeatable;
  mState.mServers.OnRequestBegan(mServer, FullName(), mSentAt);
  mState.mServers.OnSlotTaken(mServer, mState.Now());
  BeginPrompt();
  RecordOrigin();
  StartCall(mState.mServerPool, std::move(request));
}

void
Exchange::StartCall(ChannelPool& aPool, OutboundRequest aRequest)
{
  mHasAnswerHead = false;
  mProof = RunProof::None;
  mAnswerBeganAt = TimePoint();
  mToldGoodAt = TimePoint();
  mBody.clear();
  mEventReader = EventStreamReader();
  mEntryAsked = false;
  mAwaitsEntry = false;
  mCompleteUnsure = false;
  aRequest.mSendBy = mFinalAnswerBy;
  aRequest.mIdentity = { AnswerIdentity::RequestId,
                         mFacts.mId,
                         mFinalAnswerBy };
  std::weak_ptr<Exchange> weak = weak_from_this();
  OutboundCall::Events events;
  events.mOwner = [weak](const HttpHead& aHead, bool aUsed) {
    auto exchange = weak.lock();
    return exchange ? OwnerOf(wire::ReadAnswerFacts(aHead).mMarks,
                              exchange->mFacts.mId,
                              aUsed)
                    : AnswerOwner::Unsure;
  };
  events.mHead = [weak](const HttpHead& aHead) {
    if (auto exchange = weak.lock()) {
      exchange->OnHead(aHead);
    }
  };
  events.mBody = [weak](std::string& aBytes) {
    auto exchange = weak.lock();
    if (!exchange) {
      return aBytes.size();
    }
    exchange->OnBody(aBytes);
    return exchange->mBody.size() + exchange->mEvents.size();
  };
  events.mEnd = [weak](CallOutcome aOutcome) {
    if (auto exchange = weak.lock()) {
      exchange->OnCallDone(aOutcome);
    }
  };
  mCall = OutboundCall::Start(
    mState.mReactor, aPool, std::move(aRequest), std::move(events));
}

void
Exchange::OnHead(const HttpHead& aHead)
{
  mAnswer = aHead;
  mAnswerFacts = wire::ReadAnswerFacts(aHead);
  mHasAnswerHead = true;
  mProof = ProofOf(mForwarding ? SendTarget::Instance : SendTarget::Server,
                   mAnswerFacts.mMarks);
  if (mForwarding) {
    OnPeerVersion(aHead);
  } else {
    RecordServerFacts();
  }
  bool success = aHead.mStatus >= 200 && aHead.mStatus < 300;
  if (mProof != RunProof::None) {
    return;
  }
  mGrant.reset(); // the request runs, so its tokens are spent
  // Servers mark their own answers. A success without the mark, or in a content
  // coding that was not requested, was made or altered by something between
  // here and the server.
  bool altered =
    success && (!mAnswerFacts.mFromServer || mAnswerFacts.mEncoded);
  // Only a success can continue the stream that the caller is receiving.
  if (altered || (mStreaming && !success)) {
    mCall->Cancel();
    OnCallDone(CallOutcome::Malformed);
    return;
  }
  if (success && mRoute->mKind == RouteKind::Stream && !mStreaming) {
    StartStream(aHead);
  }
}

void
Exchange::RecordServerFacts()
{
  mState.mServerReach.OnReached();
  if (mAnswerFacts.mLoad) {
    mState.mServers.OnLoadReport(mServer, *mAnswerFacts.mLoad, mState.Now());
  }
  ApplyNamedLimits(mState, mServer, mAnswerFacts, mSentAt);
}

void
Exchange::StartStream(const HttpHead& aHead)
{
  mStreaming = true;
  mFirstByteAt = mState.Now();
  std::vector<HttpField> fields = wire::CallerFields(aHead);
  if (mRequest.Forwarded() && mRunVersion) {
    fields.push_back(wire::StreamVersionField(*mRunVersion));
  }
  mCaller->BeginStream(aHead.mStatus, std::move(fields));
}

void
Exchange::OnBody(std::string& aBytes)
{
  if (mAnswerBeganAt == TimePoint()) {
    mAnswerBeganAt = mState.Now();
    OnFirstBytes();
  }
  WatchBytes();
  if (!mStreaming || mProof != RunProof::None) {
    mBody += aBytes;
    aBytes.clear();
    EndIfEndless(mBody);
    return;
  }
  RecordPause();
  size_t complete = mEventReader.Take(aBytes);
  if (!mRoute->mResumable) {
    mCaller->StreamChunk(aBytes);
    aBytes.clear();
    return;
  }
  size_t before = mEvents.size();
  mEvents += aBytes;
  aBytes.clear();
  size_t events = before + complete;
  if (complete > 0 && !AwaitEntry(events) && !AwaitFormerEnd(events)) {
    OnEvents(events);
  } else {
    EndIfEndless(mEvents);
  }
}

// Gives the answer up if what is kept of it, aKept, grows without end.
void
Exchange::EndIfEndless(const std::string& aKept)
{
  if (aKept.size() <= kMaxBufferedBody) {
    return;
  }
  mState.mLog.Line("answer_endless")
    .Text("id", mFacts.mId)
    .Text("server", mServer)
    .Count("bytes", static_cast<int64_t>(aKept.size()));
  mCall->Cancel();
  OnCallDone(CallOutcome::Malformed);
}

// The first aBytes of mEvents are complete events.
void
Exchange::OnEvents(size_t aBytes)
{
  if (CheckRestart() && !HoldEvents(aBytes)) {
    ForwardEvents(aBytes);
  }
}

// Observes the time between two chunks of a stream as they arrive from servers.
void
Exchange::RecordPause()
{
  TimePoint now = mState.Now();
  if (mLastChunkAt != TimePoint()) {
    mState.mMetrics.Observe(
      "pause", mTenant, Class(), mState.AgeOf(mLastChunkAt));
  }
  mLastChunkAt = now;
}

// Forwards complete events only: when a server stops in the middle of one,
// another server resumes after the last event that the caller has completely.
void
Exchange::ForwardEvents(size_t aBytes)
{
  PinVersion();
  std::string id = LastEventId(std::string_view(mEvents).substr(0, aBytes));
  if (!id.empty()) {
    mLastEvent = id;
  }
  mCaller->StreamChunk(std::string_view(mEvents).substr(0, aBytes));
  mEvents.erase(0, aBytes);
  mHeldEvents = 0;
  mUnsureEvents -= std::min(mUnsureEvents, aBytes);
}

void
Exchange::ReleaseCall()
{
  mAwaitsEntry = false;
  EndPrompt();
  if (!mServer.empty()) {
    mState.mServers.OnRequestEnded(mServer, FullName());
    if (mHasAnswerHead && mProof == RunProof::None) {
      mState.mServers.OnSlotFreed(mServer, mState.Now());
    }
  }
  mServer.clear();
  // Destroyed later: the call may be running one of its callbacks.
  mState.mReactor.After(Millis(0), [call = std::move(mCall)] {});
  mCall.reset();
}

// A send that brought no success: what came of it, and what its answer said.
void
Exchange::LogUnserved(CallOutcome aOutcome)
{
  bool success =
    mHasAnswerHead && mAnswer.mStatus >= 200 && mAnswer.mStatus < 300;
  if (success && aOutcome == CallOutcome::Complete) {
    return;
  }
  const char* id = mAnswerFacts.mMarks.mId.empty() ? "none" : "own";
  const char* proof = RunProofName(
    aOutcome == CallOutcome::NotSent ? RunProof::NotWritten : mProof);
  mState.mLog.Line("send_unserved")
    .Text("id", mFacts.mId)
    .Text("server", mServer)
    .Flag("forwarded", mForwarding)
    .Text("outcome", OutcomeName(aOutcome))
    .Count("status", mHasAnswerHead ? mAnswer.mStatus : 0)
    .Text("proof", proof)
    .Flag("marked", mHasAnswerHead && mAnswerFacts.mMarks.mServerNotRun)
    .Flag("sealed", mHasAnswerHead && mAnswerFacts.mFromServer)
    .Text("answer_id", mHasAnswerHead ? id : "")
    .Flag("kept_connection", mCall && mCall->Reused())
    .Ms("after_ms", mState.AgeOf(mSentAt));
  mState.mMetrics.Count("caraway_sends_unserved_total",
                        std::string("proof=\"") + proof + "\"");
}

void
Exchange::OnCallDone(CallOutcome aOutcome)
{
  if (mFinished || mServer.empty()) {
    return;
  }
  LogUnserved(aOutcome);
  if (aOutcome == CallOutcome::NotSent && mState.Now() >= mFinalAnswerBy) {
    ReleaseCall();
    RefuseTooLate();
  } else if (aOutcome == CallOutcome::NotSent) {
    mForwarding ? OnPeerUnreached() : OnNotSent();
  } else if (mProof == RunProof::Refused) {
    mForwarding ? OnPeerRejected() : OnNotRun();
  } else if (aOutcome != CallOutcome::Complete) {
    OnAnswerLost(aOutcome);
  } else if (StreamEndedInsideEvent()) {
    OnAnswerLost(CallOutcome::Interrupted);
  } else if (mAwaitsEntry) {
    mCompleteUnsure = true;
  } else if (PromisesNotRun(mAnswer.mStatus)) {
    OnUnprovenRefusal();
  } else {
    OnCompleteAnswer();
  }
}

// The end of an answer proves nothing of its content: when a server's process
// ends, its connections are closed in order, as after an answer that has
// neither a length nor chunks.
bool
Exchange::StreamEndedInsideEvent() const
{
  const std::string* type = mAnswer.Find("Content-Type");
  bool events = !type || type->rfind("text/event-stream", 0) == 0;
  return mStreaming && events && mEventReader.InsideEvent();
}

void
Exchange::OnCompleteAnswer()
{
  bool failed = mAnswer.mStatus >= 500;
  WatchComplete();
  mState.mServers.RecordOutcome(mServer,
                                failed ? ServerOutcome::Failed
                                       : ServerOutcome::Good,
                                mState.Now());
  if (!failed && mSends == 1 && !mForwarding) {
    mState.mRunTimes.Record(mRoute->mName, mState.AgeOf(mSentAt), mRunFacts);
  }
  ReleaseCall();
  if (mStreaming) {
    mCaller->StreamChunk(mEvents);
    mCaller->EndStream();
    End(mAnswer.mStatus, "served");
    return;
  }
  if (failed) {
    mRuns.OnSendEnded(RunProof::None);
  }
  // A peer has made what retries there are.
  if (failed && !mForwarding && MayRetry()) {
    mState.mLog.Line("request_again")
      .Text("id", mFacts.mId)
      .Text("why", "server failed")
      .Count("status", mAnswer.mStatus);
    Dispatch();
    return;
  }
  mFirstByteAt = mState.Now();
  AnswerCaller(mAnswer.mStatus, wire::CallerFields(mAnswer), mBody, "served");
}

// A status that promises "not run", without the mark that proves it: whoever
// made the answer, the request may have run.
void
Exchange::OnUnprovenRefusal()
{
  mState.mServers.RecordOutcome(mServer, ServerOutcome::Failed, mState.Now());
  ReleaseCall();
  mRuns.OnSendEnded(RunProof::None);
  mState.mLog.Line("refusal_unproven")
    .Text("id", mFacts.mId)
    .Flag("forwarded", mForwarding)
    .Count("status", mAnswer.mStatus);
  if (!mForwarding && MayRetry()) {
    Dispatch();
    return;
  }
  mFirstByteAt = mState.Now();
  AnswerCaller(mAnswer.mStatus,
               wire::CallerFields(mAnswer),
               mBody,
               "refused without proof");
}

} // namespace caraway
