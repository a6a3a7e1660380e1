#include "exchange/Exchange.h"

#include <algorithm>

#include "exchange/ExchangeTimes.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

// Limit of sends of one request. Retries cost the servers work, and more than a
// few seldom succeed.
constexpr int kMaxSends = 6;

// Delay between a server's proof that it did not run a request and the next
// send, about the time that an adapter needs to finish loading.
constexpr Millis kNotRunRetryDelay{ 15 };

// Whether the reason of a refusal lies in this instance alone.
bool
ServableByPeers(ErrorKind aKind)
{
  return aKind == ErrorKind::ShuttingDown || aKind == ErrorKind::NoEndpoint ||
         aKind == ErrorKind::NotReady;
}

} // namespace

// ---- Retries

// A request runs at most on as many servers as its route allows: one that fails
// wherever it runs would otherwise use up the retry budget of all requests.
bool
Exchange::MayRerun() const
{
  return Repeatable() && mRuns.MaySend(true, MaxServers()) && !mProbing;
}

bool
Exchange::Repeatable() const
{
  return mRoute->mKind == RouteKind::Idempotent || Resumable();
}

int
Exchange::MaxServers() const
{
  int most = mRoute->mMaxServers;
  return std::min(most, mRequest.mServersLeft.value_or(most));
}

// Takes one retry from the service's budget. The retry goes to another server
// if the route allows one.
bool
Exchange::SpendRetry()
{
  if (mSends >= kMaxSends || mState.Now() + kServiceTime > mFinalAnswerBy) {
    return false;
  }
  return mState.mRetryBudget.Spend(mService, mState.mInstances, mState.Now());
}

bool
Exchange::MayRetry()
{
  // A request that may have crashed its server would crash the next one.
  bool harmful =
    !mCrashWatch.Idle() && (mCrashWatch.Suspected(SharedParts()) ||
                            mCrashWatch.RefusedFor(Names()).has_value());
  return MayRerun() && !harmful && MayStart(mState.Now()) && SpendRetry();
}

void
Exchange::DispatchLater(Millis aDelay)
{
  std::weak_ptr<Exchange> weak = weak_from_this();
  mState.mReactor.After(aDelay, [weak] {
    auto exchange = weak.lock();
    if (exchange && !exchange->mFinished && !exchange->mCall) {
      exchange->Dispatch();
    }
  });
}

void
Exchange::OnNotSent()
{
  std::string server = mServer;
  mState.mServers.RecordOutcome(server, ServerOutcome::Broken, mState.Now());
  const std::string& zone = mState.mSettings.mZone;
  bool near =
    mState.mEvacuations.Evacuated(zone) || mState.mServers.IsNear(server, zone);
  mState.mServerReach.OnUnreached(server, near, mState.Now());
  mUnreached += near ? 1 : 0;
  mTriedServers.erase(server); // it has not received the request
  mBadServers.insert(server);
  ReleaseCall();
  mState.mLog.Line("request_again")
    .Text("id", mFacts.mId)
    .Text("why", "not connected")
    .Text("server", server);
  if (mSends >= kMaxSends) {
    Refuse(ErrorKind::NoEndpoint,
           kRetryAfterDefault,
           "could not connect to a server");
    return;
  }
  Dispatch();
}

void
Exchange::OnNotRun()
{
  std::string server = mServer;
  int status = mAnswer.mStatus;
  ReleaseCall();
  mState.mLog.Line("request_again")
    .Text("id", mFacts.mId)
    .Text("why", "not run")
    .Text("server", server)
    .Count("status", status);
  const std::string& answered = mAnswerFacts.mServer;
  if (status == 421 && !answered.empty() && answered != server) {
    constexpr int kLostHeartbeats = 3; // an entry lapses after this many
    mState.mServers.OnAddressReused(server,
                                    mState.mSettings.mServerHeartbeatInterval *
                                      kLostHeartbeats,
                                    mState.Now());
    mState.mLog.Line("server_elsewhere")
      .Text("server", server)
      .Text("answered", answered);
    mBadServers.insert(server);
    mTriedServers.erase(server); // the address now belongs to another server
  } else if (status == 503) {
    mState.mServers.OnRejected(server, mState.mInstances, mState.Now());
    RecordRejection();
  } else if (status == 421 && !mFacts.mModel.empty()) {
    mState.mServers.MarkMissing(
      server, mFacts.mModel, mFacts.mAdapter, mState.Now());
  }
  if (InOrder()) {
    mRetryOwed = true;
    if (!RefuseWithoutRetry()) {
      DispatchLater(kNotRunRetryDelay);
    }
    return;
  }
  if (!SpendRetry()) {
    if (mStreaming) {
      mCaller->Abort();
      End(0, "resumed stream was refused");
      return;
    }
    Refuse(ErrorKind::NoCapacity,
           kRetryAfterDefault,
           "server refused the request and no retry is allowed");
    return;
  }
  DispatchLater(kNotRunRetryDelay);
}

// A request that hasn't run waits for the retry budget as it does for a slot,
// unless that would be too late. The budget is spent when it is sent again.
bool
Exchange::RefuseWithoutRetry()
{
  std::optional<TimePoint> next;
  if (mSends < kMaxSends) {
    next =
      mState.mRetryBudget.NextAt(mService, mState.mInstances, mState.Now());
  }
  if (next && *next + kServiceTime <= mFirstByteBy) {
    return false;
  }
  Refuse(ErrorKind::NoCapacity,
         SpreadRetry(kRetryAfterDefault),
         "server refused the request and no retry is allowed");
  return true;
}

void
Exchange::OnAnswerLost(CallOutcome aOutcome)
{
  std::string server = mServer;
  bool kept = mCall && mCall->Reused();
  const char* wrong = mCall ? mCall->Wrong() : "";
  mRuns.OnSendEnded(RunProof::None);
  mGrant.reset();
  mState.mServers.RecordOutcome(server, ServerOutcome::Broken, mState.Now());
  mBadServers.insert(server);
  WatchBroken(aOutcome);
  ReleaseCall();
  mEvents.clear();
  mHeldEvents = 0;
  mUnsureEvents = 0;
  mState.mLog.Line("server_broke")
    .Text("id", mFacts.mId)
    .Text("server", server)
    .Text("how", aOutcome == CallOutcome::Malformed ? "garbled" : "cut")
    .Text("wrong", wrong)
    .Flag("kept_connection", kept)
    .Flag("streaming", mStreaming)
    .Text("framing", AnswerFraming())
    .Flag("inside_event", StreamEndedInsideEvent())
    .Text("parts", SharedPartsText())
    .Ms("answering_ms", mState.AgeOf(mAnswerBeganAt))
    .Ms("after_ms", mState.AgeOf(mSentAt));
  mState.mMetrics.Count("caraway_server_broke_total",
                        std::string("answering=\"") +
                          (mAnswerBeganAt == TimePoint() ? "no" : "yes") +
                          "\"");
  if (MayRetry()) {
    Dispatch();
    return;
  }
  FailOnceStored();
}

// ---- Answers

void
Exchange::Refuse(ErrorKind aKind, Millis aAfter, const char* aWhy)
{
  if (mFinished) {
    return;
  }
  if (mStreaming) {
    mCaller->Abort();
    End(0, aWhy);
    return;
  }
  // A refusal promises that the request has not run and never will. A request
  // that may have run gets "outcome unknown" instead.
  if (mRuns.MayHaveRun()) {
    aKind = ErrorKind::OutcomeUnknown;
    aAfter = Millis(0);
  }
  const ErrorAnswer& answer = ErrorAnswerOf(aKind);
  std::vector<HttpField> fields;
  if (!mFacts.mId.empty()) {
    fields.push_back(wire::RequestIdField(mFacts.mId));
  }
  if (aAfter > Millis(0)) {
    fields.push_back(wire::RetryAfterField(aAfter));
  }
  if (mRequest.Forwarded() && !mRuns.MayHaveRun()) {
    fields.push_back(wire::InstanceNotRunField());
  }
  if (mRequest.Forwarded() && ServableByPeers(aKind)) {
    fields.push_back(wire::ElsewhereField());
  }
  mState.mLog.Line("request_refused")
    .Text("id", mFacts.mId)
    .Text("kind", answer.mName)
    .Text("why", aWhy)
    .Text("route", mRoute ? mRoute->mName : "")
    .Text("tenant", mTenant)
    .Text("model", mFacts.mModel)
    .Text("adapter", mFacts.mAdapter)
    .Count("config", mConfig ? mConfig->mVersion : 0)
    .Text("config_from", mState.mConfigFrom)
    .Ms("config_age_ms", mState.AgeOf(mState.mConfigFreshness.ConfirmedAt()))
    .Ms("lag_ms", mState.mReactor.Lag())
    .Ms("running_ms", mState.AgeOf(mState.mStartedAt))
    .Count("sends", mSends)
    .Ms("retry_ms", aAfter);
  mState.mMetrics.Count("caraway_refused_total",
                        std::string("kind=\"") + answer.mName + "\"");
  AnswerCaller(answer.mStatus, std::move(fields), "", aWhy);
}

// Every complete answer, of whoever made it, goes to the caller here, so that
// none promises "not run" without proof.
void
Exchange::AnswerCaller(int aStatus,
                       std::vector<HttpField> aFields,
                       std::string_view aBody,
                       const char* aWhy)
{
  // A server's own answer is returned as it is where a promise can do no harm.
  bool unchanged = mRoute && Repeatable() && mAnswerFacts.mFromServer;
  int status = unchanged ? aStatus : mRuns.StatusFor(aStatus);
  if (status != aStatus) {
    aFields = { wire::RequestIdField(mFacts.mId) };
    aBody = "";
    mState.mLog.Line("promise_withheld")
      .Text("id", mFacts.mId)
      .Count("status", aStatus)
      .Text("why", aWhy);
  }
  mCaller->Answer(status, std::move(aFields), aBody);
  End(status, aWhy);
}

void
Exchange::OnDeadline()
{
  if (mFinished) {
    return;
  }
  if (mServer.empty()) {
    Refuse(ErrorKind::DeadlineUnmeetable,
           kRetryAfterDefault,
           "deadline passed before a server was found");
    return;
  }
  // The server has the same deadline and answers about now; its own final
  // answer says more than one made here.
  if (mState.Now() < mFinalAnswerBy + kLateAnswerMargin) {
    std::weak_ptr<Exchange> weak = weak_from_this();
    mTimer = mState.mReactor.After(kLateAnswerMargin, [weak] {
      if (auto exchange = weak.lock()) {
        exchange->OnDeadline();
      }
    });
    return;
  }
  bool sent = mCall->Sent();
  mCall->Cancel();
  ReleaseCall();
  if (!sent && !mRuns.MayHaveRun()) {
    Refuse(ErrorKind::DeadlineUnmeetable,
           kRetryAfterDefault,
           "deadline passed before a server was reached");
    return;
  }
  mGrant.reset();
  if (mStreaming) {
    mCaller->Abort();
    End(0, "stream did not end before the deadline");
    return;
  }
  AnswerCaller(504,
               { wire::RequestIdField(mFacts.mId) },
               "",
               "server did not answer before the deadline");
}

void
Exchange::OnCallerDisconnected()
{
  if (mFinished) {
    return;
  }
  if (mCall) {
    mCall->Cancel();
    ReleaseCall();
    mGrant.reset();
  }
  End(0, "caller left");
}

void
Exchange::OnInstanceExit()
{
  if (mFinished) {
    return;
  }
  constexpr const char* kWhy = "instance exits";
  if (mCall) {
    mRuns.OnSendEnded(mCall->Sent() ? RunProof::None : RunProof::NotWritten);
    mCall->Cancel();
    ReleaseCall();
  }
  if (mRuns.MayHaveRun()) {
    mGrant.reset(); // its tokens may be spent
  }
  if (mStreaming) {
    mCaller->Abort(ConnectionCloseReason::InstanceExit);
    End(0, kWhy);
    return;
  }
  Refuse(ErrorKind::ShuttingDown, kRetryAfterElsewhere, kWhy);
}

const char*
Exchange::AnswerFraming() const
{
  return mHasAnswerHead ? FramingName(mAnswer.mFraming) : "";
}

void
Exchange::End(int aStatus, const char* aWhy)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mState.mReactor.Cancel(mTimer);
  if (mGrant) {
    mRateLimiter.Refund(*mGrant);
  }
  Millis first =
    mFirstByteAt == TimePoint()
      ? Millis(-1)
      : std::chrono::duration_cast<Millis>(mFirstByteAt - mArrived);
  mState.mLog.Line("request_done")
    .Text("id", mFacts.mId)
    .Count("status", aStatus)
    .Text("why", aWhy)
    .Count("sends", mSends)
    .Count("forwards", mForwards)
    .Flag("forwarded", mRequest.Forwarded())
    .Text("framing", AnswerFraming())
    .Flag("inside_event", StreamEndedInsideEvent())
    .Ms("first_ms", first)
    .Ms("whole_ms", mState.AgeOf(mArrived));
  mState.mMetrics.Count("caraway_requests_total",
                        "status=\"" + std::to_string(aStatus) + "\"");
  if (mFirstByteAt != TimePoint()) {
    mState.mMetrics.Observe("first_event", mTenant, Class(), first);
    if (mColdStart) {
      mState.mMetrics.Observe("cold_start", mTenant, Class(), first);
    }
    mState.mMetrics.Observe("whole", mTenant, Class(), mState.AgeOf(mArrived));
  }
  mOwner.OnExchangeDone(*this);
}

} // namespace caraway
