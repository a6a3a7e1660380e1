#include "entry/Exchange.h"

#include <algorithm>
#include <functional>

#include "decide/TenantTokens.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

// Passed to the server beyond this instance's own end, so that the server's
// own final answer can arrive before this instance gives up.
constexpr Millis kLateAnswer{ 40 };

// Callers leave a stream without a first event after the longest of these.
constexpr Millis kPatience{ 2000 };
constexpr int kPatienceTargets = 4;

// A server needs this long from the request to the first event when it is
// free; what can't begin so long before the caller leaves is refused.
constexpr Millis kServiceTime{ 120 };

// What isn't expected to be there sooner is worth trying again after this.
constexpr Millis kComeBack{ 500 };

// Other instances can take it at once.
constexpr Millis kComeBackElsewhere{ 20 };

// Of a request's target: the part that it waits for its tenant's tokens.
constexpr int kTokenPatience = 8;
constexpr Millis kLeastPatience{ 50 };

// Sends of one request: repeats cost the servers work; beyond a few they
// help nobody.
constexpr int kMostSends = 6;

// Between a server's proof that it did not run a request and the next send:
// an adapter on its way takes about as long.
constexpr Millis kAfterProof{ 15 };

// A connection that has been idle for long may be closed by the server just
// as the request leaves; what may not run twice can't be sent again then.
constexpr double kIdleShareOnce = 0.4;
constexpr double kIdleShareAgain = 0.7;

// Requests a slot that a server may have under way. An engine admits as many
// as it has slots; a plain service's requests are short, so that a few may
// queue there and still be answered in time.
constexpr double kPerSlotEngine = 1.1;
constexpr double kPerSlotService = 3.0;

constexpr int kLowestPriority = 9;

double
CostOf(const RequestFacts& aFacts, const TenantLimit& aTenant)
{
  if (!aTenant.mInTokens) {
    return 1;
  }
  if (!aFacts.mPromptTokens) {
    return aTenant.mPlainTokens;
  }
  return *aFacts.mPromptTokens + aFacts.mOutputTokens.value_or(0);
}

// The same part for the same request, in proportion to the weights.
const std::string&
PickService(const RouteSpec& aRoute, const std::string& aId)
{
  double total = 0;
  for (const SplitPart& part : aRoute.mSplit) {
    total += part.mWeight;
  }
  constexpr size_t kSteps = 100000;
  double at = total *
              static_cast<double>(std::hash<std::string>()(aId) % kSteps) /
              kSteps;
  for (const SplitPart& part : aRoute.mSplit) {
    at -= part.mWeight;
    if (at < 0) {
      return part.mService;
    }
  }
  return aRoute.mSplit.back().mService;
}

// The id of the last event in aEvents that has one; "" when none has.
std::string
LastIdIn(std::string_view aEvents)
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

// Bytes up to the end of the last whole event.
size_t
WholeEvents(std::string_view aBytes)
{
  size_t plain = aBytes.rfind("\n\n");
  size_t crlf = aBytes.rfind("\r\n\r\n");
  size_t end = plain == std::string_view::npos ? 0 : plain + 2;
  if (crlf != std::string_view::npos) {
    end = std::max(end, crlf + 4);
  }
  return end;
}

} // namespace

Exchange::Exchange(EntryState& aState,
                   ExchangeOwner& aOwner,
                   TokenAsker& aTokens,
                   PlaceAsker& aPlaces,
                   std::shared_ptr<InboundConn> aCaller,
                   InboundRequest aRequest)
  : mState(aState)
  , mOwner(aOwner)
  , mTokens(aTokens)
  , mPlaces(aPlaces)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mArrived(aState.Now())
{
}

Millis
Exchange::Since(TimePoint aThen) const
{
  return std::chrono::duration_cast<Millis>(mState.Now() - aThen);
}

RequestClass
Exchange::Class() const
{
  if (!mRoute || mRoute->mTarget < Seconds(1)) {
    return RequestClass::Urgent;
  }
  return mRoute->mTarget < Seconds(2) ? RequestClass::Interactive
                                      : RequestClass::Batch;
}

std::string
Exchange::FullName() const
{
  return mFacts.mAdapter.empty() ? mFacts.mModel
                                 : mFacts.mModel + "/" + mFacts.mAdapter;
}

void
Exchange::Begin()
{
  if (!Identify()) {
    return;
  }
  const RouteSpec& route = *mRoute;
  mService = PickService(route, mFacts.mId);
  mPriority = std::clamp(mPriority, 0, kLowestPriority);
  Millis most =
    std::min(mFacts.mDeadline.value_or(route.mTimeout), route.mTimeout);
  mGiveUpAt = mArrived + most;
  mFirstBy = mGiveUpAt;
  if (route.mKind == RouteKind::Stream) {
    Millis patience = std::max(kPatience, route.mTarget * kPatienceTargets);
    mFirstBy = std::min(mGiveUpAt, mArrived + patience);
  }
  mState.mRepeats.OnRequest(mService, mArrived);
  if (!mFacts.mModel.empty()) {
    mState.mDemand.Add(mFacts.mModel, 1, mArrived);
    ++mState.mAskedSincePulse[mFacts.mModel];
  }
  if (!mFacts.mAdapter.empty()) {
    mState.mDemand.Add(FullName(), 1, mArrived);
    ++mState.mAskedSincePulse[FullName()];
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mTimer = mState.mReactor.After(most, [weak] {
    if (auto exchange = weak.lock()) {
      exchange->OnTimeUp();
    }
  });
  auto tenant = mConfig->mTenants.find(mTenant);
  if (tenant == mConfig->mTenants.end() || tenant->second.mRate <= 0) {
    Dispatch();
    return;
  }
  TokenRequest request;
  request.mTenant = mTenant;
  request.mTokens = CostOf(mFacts, tenant->second);
  request.mPatience = std::max(route.mTarget / kTokenPatience, kLeastPatience);
  if (route.mKind == RouteKind::Stream) {
    request.mReserve = ReserveFor(route.mPriority, mConfig->LeastUrgent());
  }
  mTokens.Ask(request, [weak](bool aGranted, Millis aAfter) {
    if (auto exchange = weak.lock()) {
      exchange->OnTokens(aGranted, aAfter);
    }
  });
}

bool
Exchange::Identify()
{
  mConfig = mState.mConfig;
  if (!mConfig) {
    Refuse(ErrorKind::NotReady, kComeBack, "no configuration yet");
    return false;
  }
  auto facts = wire::ReadRequestFacts(mRequest.mHead);
  if (!facts || facts->mId.empty()) {
    Refuse(ErrorKind::BadRequest, Millis(0), "unreadable field");
    return false;
  }
  mFacts = std::move(*facts);
  mRoute = mConfig->Match(mFacts.mHost, mFacts.mPath);
  if (!mRoute) {
    Refuse(ErrorKind::NotFound, Millis(0), "no route");
    return false;
  }
  mPriority = mRoute->mPriority;
  if (mConfig->mTenants.empty() || mRoute->mAnonymous) {
    return true;
  }
  auto tenant = mConfig->mTenantOfKey.find(mFacts.mKey);
  if (tenant == mConfig->mTenantOfKey.end()) {
    bool shown = !mFacts.mKey.empty();
    Refuse(
      shown ? ErrorKind::KeyUnknown : ErrorKind::KeyMissing, Millis(0), "key");
    return false;
  }
  mTenant = tenant->second;
  auto limit = mConfig->mTenants.find(mTenant);
  if (limit != mConfig->mTenants.end() && limit->second.mPriority) {
    mPriority = *limit->second.mPriority;
  }
  return true;
}

void
Exchange::OnTokens(bool aGranted, Millis aAfter)
{
  if (mOver) {
    return;
  }
  if (!aGranted) {
    Refuse(ErrorKind::RateExceeded, aAfter, "tenant's rate");
    return;
  }
  Dispatch();
}

// ---- Finding a server

PlaceWant
Exchange::Want() const
{
  Millis left = mRoute->mTarget - kServiceTime - Since(mArrived);
  return { mService, mFacts.mModel, mFacts.mAdapter, mPriority, left };
}

void
Exchange::Dispatch()
{
  if (!mOver && !FindServer() && !mOver && !mWaiting) {
    mWaiting = true;
    mState.mLog.Line("request_waits")
      .Text("id", mFacts.mId)
      .Text("service", mService)
      .Text("model", mFacts.mModel)
      .Text("adapter", mFacts.mAdapter)
      .Ms("since_ms", Since(mArrived));
    mOwner.Wait(shared_from_this());
  }
}

bool
Exchange::TryAgain()
{
  if (mOver || !mWaiting) {
    return true;
  }
  if (!FindServer()) {
    return mOver;
  }
  mWaiting = false;
  return true;
}

bool
Exchange::FindServer()
{
  auto service = mConfig->mServices.find(mService);
  bool engine =
    service != mConfig->mServices.end() && service->second.mEngine.has_value();
  ServerWish wish;
  wish.mService = mService;
  wish.mModel = engine ? mFacts.mModel : "";
  wish.mAdapter = engine ? mFacts.mAdapter : "";
  wish.mZone = mState.mSettings.mZone;
  wish.mExcluded = mBad;
  wish.mMostPerSlot = engine ? kPerSlotEngine : kPerSlotService;
  if (static_cast<int>(mTried.size()) >= mRoute->mMaxServers) {
    wish.mOnly = mTried;
  }
  ServerChoice choice =
    mState.mServers.Choose(wish, mState.Now(), mState.mRandom);
  if (choice.mBackend) {
    mWaiting = false;
    Send(*choice.mBackend);
    return true;
  }
  if (engine && !choice.mHeld && !mFacts.mModel.empty()) {
    mPlaces.Want(Want());
  }
  return GiveUpIfHopeless(choice);
}

// Knowing that a request can't be served in time is told at once: its caller
// can then come back when it can.
bool
Exchange::GiveUpIfHopeless(const ServerChoice& aChoice)
{
  TimePoint now = mState.Now();
  if (!mWaiting && !mTried.empty() &&
      static_cast<int>(mTried.size()) >= mRoute->mMaxServers &&
      !aChoice.mHeld) {
    Refuse(ErrorKind::NoEndpoint, kComeBack, "its servers are gone");
    return true;
  }
  Millis wait{ 0 };
  if (!aChoice.mHeld) {
    auto expected = mPlaces.Expected(Want());
    wait = expected.value_or(Millis(0));
  }
  // An instance that leaves sends those away who would be cut off: another
  // one can still serve them.
  if (now + wait > mState.mLastStart) {
    Refuse(ErrorKind::ShuttingDown, kComeBackElsewhere, "instance leaves");
    return true;
  }
  if (now + wait + kServiceTime <= mFirstBy) {
    return false;
  }
  // Those who wait for the same thing come back spread over a fifth.
  std::uniform_int_distribution<int64_t> spread(0, wait.count() / 5 + 100);
  Millis after = std::max(wait, kComeBack) + Millis(spread(mState.mRandom));
  Refuse(aChoice.mHeld ? ErrorKind::NoCapacity : ErrorKind::DeadlineUnmeetable,
         after,
         aChoice.mHeld ? "servers full" : "model comes too late");
  return true;
}

// ---- One send

std::string
Exchange::ServerHead(const Backend& aBackend) const
{
  wire::ServerSend send;
  send.mInstance = aBackend.mEntry.mId;
  send.mTenant = mTenant;
  send.mPriority = mPriority;
  send.mBodyBytes = mRequest.mBody.size();
  send.mLastEvent = mLastEvent;
  // Rounded down: more than is left would be work that nobody waits for.
  auto left = std::chrono::duration_cast<Millis>(mGiveUpAt - mState.Now());
  send.mLeft = std::max(left, Millis(1));
  return wire::WriteServerRequest(mRequest.mHead, send);
}

void
Exchange::Send(Backend& aBackend)
{
  bool again = MayRunAgain();
  mServer = aBackend.mEntry.mId;
  mTried.insert(mServer);
  ++mSends;
  mSentAt = mState.Now();
  mHaveAnswer = false;
  mBody.clear();
  mState.mLog.Line("request_sent")
    .Text("id", mFacts.mId)
    .Text("route", mRoute->mName)
    .Text("tenant", mTenant)
    .Text("server", mServer)
    .Text("model", mFacts.mModel)
    .Text("adapter", mFacts.mAdapter)
    .Count("send", mSends)
    .Count("under_way", aBackend.UnderWay())
    .Number("failing", aBackend.mFailing)
    .Count("config", mConfig->mVersion)
    .Ms("waited_ms", Since(mArrived));
  OutRequest request;
  request.mAddress = aBackend.mEntry.mAddress;
  request.mPeer = mServer;
  request.mHead = ServerHead(aBackend);
  request.mBody = mRequest.mBody;
  request.mIdleShare = again ? kIdleShareAgain : kIdleShareOnce;
  mState.mServers.Began(mServer, FullName());
  std::weak_ptr<Exchange> weak = weak_from_this();
  OutCall::Events events;
  events.mIsOurs = [weak](const HttpHead& aHead) {
    auto exchange = weak.lock();
    std::string id = wire::ReadAnswerFacts(aHead).mId;
    return !exchange || id.empty() || id == exchange->mFacts.mId;
  };
  events.mHead = [weak](const HttpHead& aHead) {
    if (auto exchange = weak.lock()) {
      exchange->OnHead(aHead);
    }
  };
  events.mBody = [weak](std::string& aBytes) {
    if (auto exchange = weak.lock()) {
      exchange->OnBody(aBytes);
    }
  };
  events.mEnd = [weak](CallEnd aEnd) {
    if (auto exchange = weak.lock()) {
      exchange->OnCallEnd(aEnd);
    }
  };
  mCall = OutCall::Start(
    mState.mReactor, mState.mServerPool, std::move(request), std::move(events));
}

void
Exchange::OnHead(const HttpHead& aHead)
{
  mAnswer = aHead;
  mAnswerFacts = wire::ReadAnswerFacts(aHead);
  mHaveAnswer = true;
  bool success = aHead.mStatus >= 200 && aHead.mStatus < 300;
  if (mAnswerFacts.mNotRun) {
    return;
  }
  // A success that a server didn't seal, or in a coding that nobody asked
  // for, isn't what the server made.
  bool spoilt = success && (!mAnswerFacts.mSealed || mAnswerFacts.mEncoded);
  // A stream that goes on must go on as a stream.
  if (spoilt || (mStreaming && !success)) {
    mCall->Cancel();
    OnCallEnd(CallEnd::Garbled);
    return;
  }
  if (success && mRoute->mKind == RouteKind::Stream && !mStreaming) {
    StartStream(aHead);
  }
}

void
Exchange::StartStream(const HttpHead& aHead)
{
  mStreaming = true;
  mFirstAt = mState.Now();
  mCaller->BeginStream(aHead.mStatus, wire::CallerFields(aHead));
}

void
Exchange::OnBody(std::string& aBytes)
{
  if (!mStreaming || mAnswerFacts.mNotRun) {
    mBody += aBytes;
    aBytes.clear();
    return;
  }
  if (!mRoute->mResumable) {
    mCaller->StreamPiece(aBytes);
    aBytes.clear();
    return;
  }
  mEvents += aBytes;
  aBytes.clear();
  ForwardEvents();
}

// Only whole events: a server may stop in the middle of one, and another
// then goes on after the last that the caller has in full.
void
Exchange::ForwardEvents()
{
  size_t whole = WholeEvents(mEvents);
  if (whole == 0) {
    return;
  }
  std::string id = LastIdIn(std::string_view(mEvents).substr(0, whole));
  if (!id.empty()) {
    mLastEvent = id;
  }
  mCaller->StreamPiece(std::string_view(mEvents).substr(0, whole));
  mEvents.erase(0, whole);
}

void
Exchange::ForgetCall()
{
  if (!mServer.empty()) {
    mState.mServers.Ended(mServer, FullName());
  }
  mServer.clear();
  // It may be running one of its events.
  mState.mReactor.After(Millis(0), [call = std::move(mCall)] {});
  mCall.reset();
}

void
Exchange::OnCallEnd(CallEnd aEnd)
{
  if (mOver || mServer.empty()) {
    return;
  }
  if (aEnd == CallEnd::NotSent) {
    OnNotSent();
  } else if (mHaveAnswer && mAnswerFacts.mNotRun) {
    OnProvenNotRun();
  } else if (aEnd != CallEnd::Whole) {
    OnBroken(aEnd);
  } else {
    OnWhole();
  }
}

void
Exchange::OnWhole()
{
  bool failed = mAnswer.mStatus >= 500;
  mState.mServers.Heard(
    mServer, failed ? ServerNews::Failed : ServerNews::Good, mState.Now());
  ForgetCall();
  if (mStreaming) {
    mCaller->StreamPiece(mEvents);
    mCaller->EndStream();
    End(mAnswer.mStatus, "served");
    return;
  }
  if (failed && MayRunAgain() && MaySendAgain()) {
    mState.mLog.Line("request_again")
      .Text("id", mFacts.mId)
      .Text("why", "server failed")
      .Count("status", mAnswer.mStatus);
    Dispatch();
    return;
  }
  mFirstAt = mState.Now();
  mCaller->Answer(mAnswer.mStatus, wire::CallerFields(mAnswer), mBody);
  End(mAnswer.mStatus, "served");
}

// ---- Repeats

bool
Exchange::MayRunAgain() const
{
  return mRoute->mKind == RouteKind::Idempotent ||
         (mRoute->mKind == RouteKind::Stream && mRoute->mResumable);
}

// Takes from the budget of repeats. What is sent again goes to another
// server if the route lets it.
bool
Exchange::MaySendAgain()
{
  if (mSends >= kMostSends || mState.Now() + kServiceTime > mGiveUpAt) {
    return false;
  }
  return mState.mRepeats.Spend(mService, mState.mInstances, mState.Now());
}

void
Exchange::DispatchLater(Millis aDelay)
{
  std::weak_ptr<Exchange> weak = weak_from_this();
  mState.mReactor.After(aDelay, [weak] {
    auto exchange = weak.lock();
    if (exchange && !exchange->mOver && !exchange->mCall) {
      exchange->Dispatch();
    }
  });
}

void
Exchange::OnNotSent()
{
  std::string server = mServer;
  mState.mServers.Heard(server, ServerNews::Broken, mState.Now());
  mTried.erase(server); // it never saw the request
  mBad.insert(server);
  ForgetCall();
  mState.mLog.Line("request_again")
    .Text("id", mFacts.mId)
    .Text("why", "not connected")
    .Text("server", server);
  if (mSends >= kMostSends) {
    Refuse(ErrorKind::NoEndpoint, kComeBack, "no server connects");
    return;
  }
  Dispatch();
}

void
Exchange::OnProvenNotRun()
{
  std::string server = mServer;
  int status = mAnswer.mStatus;
  ForgetCall();
  mState.mLog.Line("request_again")
    .Text("id", mFacts.mId)
    .Text("why", "not run")
    .Text("server", server)
    .Count("status", status);
  if (status == 421 && !mFacts.mModel.empty()) {
    mState.mServers.Doubt(server, mFacts.mModel, mFacts.mAdapter, mState.Now());
  }
  if (!MaySendAgain()) {
    if (mStreaming) {
      mCaller->Abort();
      End(0, "stream refused midway");
      return;
    }
    Refuse(ErrorKind::NoCapacity, kComeBack, "server refused");
    return;
  }
  DispatchLater(kAfterProof);
}

void
Exchange::OnBroken(CallEnd aEnd)
{
  std::string server = mServer;
  bool kept = mCall && mCall->Reused();
  mMayHaveRun = true;
  mState.mServers.Heard(server, ServerNews::Broken, mState.Now());
  mBad.insert(server);
  ForgetCall();
  mEvents.clear();
  mState.mLog.Line("server_broke")
    .Text("id", mFacts.mId)
    .Text("server", server)
    .Text("how", aEnd == CallEnd::Garbled ? "garbled" : "cut")
    .Flag("kept_connection", kept)
    .Flag("streaming", mStreaming)
    .Ms("after_ms", Since(mSentAt));
  if (MayRunAgain() && MaySendAgain()) {
    Dispatch();
    return;
  }
  if (mStreaming) {
    mCaller->Abort();
    End(0, "stream broken off");
    return;
  }
  Refuse(ErrorKind::OutcomeUnknown, Millis(0), "server broke off");
}

// ---- Answers

void
Exchange::Refuse(ErrorKind aKind, Millis aAfter, const char* aWhy)
{
  if (mOver) {
    return;
  }
  if (mStreaming) {
    mCaller->Abort();
    End(0, aWhy);
    return;
  }
  // A refusal promises that the request has not run and never will; what may
  // have run gets an answer that promises nothing.
  if (mMayHaveRun) {
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
  mState.mLog.Line("request_refused")
    .Text("id", mFacts.mId)
    .Text("kind", answer.mName)
    .Text("why", aWhy)
    .Text("route", mRoute ? mRoute->mName : "")
    .Text("tenant", mTenant)
    .Text("model", mFacts.mModel)
    .Text("adapter", mFacts.mAdapter)
    .Count("config", mConfig ? mConfig->mVersion : 0)
    .Count("sends", mSends)
    .Ms("retry_ms", aAfter);
  mState.mMetrics.Count("caraway_refused_total",
                        std::string("kind=\"") + answer.mName + "\"");
  mCaller->Answer(answer.mStatus, std::move(fields), "");
  End(answer.mStatus, aWhy);
}

void
Exchange::OnTimeUp()
{
  if (mOver) {
    return;
  }
  if (mServer.empty()) {
    Refuse(ErrorKind::DeadlineUnmeetable, kComeBack, "time is up");
    return;
  }
  // The server stops by itself about now; its own final answer is better
  // than this instance's.
  if (mState.Now() < mGiveUpAt + kLateAnswer) {
    std::weak_ptr<Exchange> weak = weak_from_this();
    mTimer = mState.mReactor.After(kLateAnswer, [weak] {
      if (auto exchange = weak.lock()) {
        exchange->OnTimeUp();
      }
    });
    return;
  }
  mCall->Cancel();
  ForgetCall();
  if (mStreaming) {
    mCaller->Abort();
    End(0, "stream over its time");
    return;
  }
  mCaller->Answer(504, { wire::RequestIdField(mFacts.mId) }, "");
  End(504, "time is up at the server");
}

void
Exchange::OnCallerLeft()
{
  if (mOver) {
    return;
  }
  if (mCall) {
    mCall->Cancel();
    ForgetCall();
  }
  End(0, "caller left");
}

void
Exchange::End(int aStatus, const char* aWhy)
{
  if (mOver) {
    return;
  }
  mOver = true;
  mState.mReactor.Cancel(mTimer);
  Millis first = mFirstAt == TimePoint()
                   ? Millis(-1)
                   : std::chrono::duration_cast<Millis>(mFirstAt - mArrived);
  mState.mLog.Line("request_done")
    .Text("id", mFacts.mId)
    .Count("status", aStatus)
    .Text("why", aWhy)
    .Count("sends", mSends)
    .Ms("first_ms", first)
    .Ms("whole_ms", Since(mArrived));
  mState.mMetrics.Count("caraway_requests_total",
                        "status=\"" + std::to_string(aStatus) + "\"");
  if (mFirstAt != TimePoint()) {
    mState.mMetrics.Observe("first_event", mTenant, Class(), first);
    mState.mMetrics.Observe("whole", mTenant, Class(), Since(mArrived));
  }
  mOwner.Over(*this);
}

} // namespace caraway
