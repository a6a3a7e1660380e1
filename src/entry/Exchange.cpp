#include "entry/Exchange.h"

#include <algorithm>
#include <functional>

#include "decide/RateSplit.h"
#include "entry/ExchangeTimes.h"
#include "platform/RequestHead.h"

namespace caraway {

namespace {

// Callers give up on a stream without a first event after kFirstByteTimeout or
// kFirstByteTargets times the route's target, whichever is longer.
constexpr Millis kFirstByteTimeout{ 2000 };

constexpr int kFirstByteTargets = 4;

// A request waits for its tenant's tokens for at most its route's target
// divided by this.
constexpr int kTokenWaitDivisor = 8;

constexpr Millis kMinTokenWait{ 50 };

// Limits of requests in flight per slot of a server. An engine admits as many
// as it has slots; requests to a plain service are short, so a few can queue
// there and still be answered in time.
constexpr double kEngineRequestsPerSlot = 1.1;

constexpr double kServiceRequestsPerSlot = 3.0;

double
TokenCost(const RequestFacts& aFacts, const TenantLimit& aTenant)
{
  if (!aTenant.mInTokens) {
    return 1;
  }
  if (!aFacts.mPromptTokens) {
    return aTenant.mDefaultTokens;
  }
  return *aFacts.mPromptTokens + aFacts.mOutputTokens.value_or(0);
}

// Chooses a service in proportion to the weights, always the same one for the
// same request id.
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

} // namespace

Exchange::Exchange(EntryState& aState,
                   ExchangeOwner& aOwner,
                   RateLimiter& aRateLimiter,
                   LoadRequester& aLoadRequester,
                   std::shared_ptr<InboundConnection> aCaller,
                   InboundRequest aRequest)
  : mState(aState)
  , mOwner(aOwner)
  , mRateLimiter(aRateLimiter)
  , mLoadRequester(aLoadRequester)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mArrived(aState.Now() - mRequest.mWaited)
{
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
  mService = PickService(*mRoute, mFacts.mId);
  mPriority = std::clamp(mPriority, 0, kLowestPriority);
  SetDeadlines();
  CountDemand();
  if (!ExpectsCallers() || !MayStart(mState.Now())) {
    RefuseShuttingDown();
    return;
  }
  const TenantLimit* tenant = mConfig->Tenant(mTenant);
  if (!tenant || tenant->mRate <= 0) {
    Dispatch();
  } else {
    AskForTokens(*tenant);
  }
}

void
Exchange::SetDeadlines()
{
  Millis timeLimit =
    std::min(mFacts.mDeadline.value_or(mRoute->mTimeout), mRoute->mTimeout);
  mFinalAnswerBy = mArrived + timeLimit;
  mFirstByteBy = mFinalAnswerBy;
  if (mRoute->mKind == RouteKind::Stream) {
    Millis timeout =
      std::max(kFirstByteTimeout, mRoute->mTarget * kFirstByteTargets);
    mFirstByteBy = std::min(mFinalAnswerBy, mArrived + timeout);
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  Millis left = std::max(timeLimit - mState.AgeOf(mArrived), Millis(0));
  mTimer = mState.mReactor.After(left, [weak] {
    if (auto exchange = weak.lock()) {
      exchange->OnDeadline();
    }
  });
}

void
Exchange::CountDemand()
{
  TimePoint now = mState.Now();
  mState.mRetryBudget.OnRequest(mService, now);
  if (!mFacts.mModel.empty()) {
    mState.CountDemand(mFacts.mModel, now);
  }
  if (!mFacts.mAdapter.empty()) {
    mState.CountDemand(FullName(), now);
  }
}

void
Exchange::AskForTokens(const TenantLimit& aTenant)
{
  TokenRequest request;
  request.mTenant = mTenant;
  request.mTokens = TokenCost(mFacts, aTenant);
  request.mMaxWait =
    std::max(mRoute->mTarget / kTokenWaitDivisor, kMinTokenWait);
  if (mRoute->mKind == RouteKind::Stream) {
    request.mReserve = ReserveFor(mRoute->mPriority, mConfig->LeastUrgent());
  }
  std::weak_ptr<Exchange> weak = weak_from_this();
  mRateLimiter.Ask(request,
                   [weak, &limiter = mRateLimiter](const TokenAnswer& aAnswer) {
                     auto exchange = weak.lock();
                     if (exchange && !exchange->mFinished) {
                       exchange->OnTokens(aAnswer);
                     } else if (aAnswer.mGrant) {
                       // The caller has disconnected meanwhile.
                       limiter.Refund(*aAnswer.mGrant);
                     }
                   });
}

bool
Exchange::Identify()
{
  mConfig = mState.mConfig;
  if (!mConfig) {
    Refuse(ErrorKind::NotReady, kRetryAfterDefault, "no configuration yet");
    return false;
  }
  auto facts = wire::ReadRequestFacts(mRequest.mHead);
  if (!facts || facts->mId.empty()) {
    Refuse(ErrorKind::BadRequest,
           Millis(0),
           "request id missing, or a header field is invalid");
    return false;
  }
  mFacts = std::move(*facts);
  mRoute = mConfig->Match(mFacts.mHost, mFacts.mPath);
  if (!mRoute) {
    Refuse(
      ErrorKind::NotFound, Millis(0), "no route matches the host and path");
    return false;
  }
  mPriority = mRoute->mPriority;
  if (mConfig->mTenants.empty() || mRoute->mAnonymous) {
    return true;
  }
  auto tenant = mConfig->mTenantOfKey.find(mFacts.mTenantKey);
  if (tenant == mConfig->mTenantOfKey.end()) {
    bool hasKey = !mFacts.mTenantKey.empty();
    Refuse(
      hasKey ? ErrorKind::KeyUnknown : ErrorKind::KeyMissing, Millis(0), "key");
    return false;
  }
  mTenant = tenant->second;
  const TenantLimit* limit = mConfig->Tenant(mTenant);
  if (limit && limit->mPriority) {
    mPriority = *limit->mPriority;
  }
  return true;
}

void
Exchange::OnTokens(const TokenAnswer& aAnswer)
{
  mGrant = aAnswer.mGrant;
  // The instance may have handed its part of the rate limit to its zone peers
  // while the request waited for tokens; the limit itself isn't the cause then.
  if (!mGrant && !ExpectsCallers()) {
    RefuseShuttingDown();
    return;
  }
  if (!mGrant) {
    Refuse(ErrorKind::RateExceeded,
           aAnswer.mRetryAfter,
           "tenant's rate limit reached");
    return;
  }
  Dispatch();
}

// ---- Choice of a server

LoadRequest
Exchange::ToLoadRequest() const
{
  Millis left = mRoute->mTarget - kServiceTime - mState.AgeOf(mArrived);
  return { mService, mFacts.mModel, mFacts.mAdapter, mPriority, left };
}

void
Exchange::Dispatch()
{
  ModelsWithoutServer without;
  if (!mFinished && !FindServer(without) && !mFinished && !mWaiting) {
    mWaiting = true;
    mState.mLog.Line("request_waits")
      .Text("id", mFacts.mId)
      .Text("service", mService)
      .Text("model", mFacts.mModel)
      .Text("adapter", mFacts.mAdapter)
      .Ms("since_ms", mState.AgeOf(mArrived));
    mOwner.WaitForServer(shared_from_this());
  }
}

bool
Exchange::TryDispatch(ModelsWithoutServer& aWithout)
{
  if (mFinished || !mWaiting) {
    return true;
  }
  if (!FindServer(aWithout)) {
    return mFinished;
  }
  mWaiting = false;
  return true;
}

// Once a leaving instance expects no more callers, its parts of the tenants'
// rate limits have been handed to its zone peers.
bool
Exchange::ExpectsCallers() const
{
  return mState.mLeave.ExpectsCallers(mState.Now());
}

bool
Exchange::MayStart(TimePoint aStart) const
{
  if (!mState.mLeave.Leaving()) {
    return true;
  }
  if (mStreaming) {
    return mState.mLeave.MayContinue(aStart);
  }
  return mState.mLeave.MayStart(aStart,
                                mFinalAnswerBy + kLateAnswerMargin,
                                mState.mRunTimes.UsualTime(mRoute->mName));
}

// Another instance can serve the request, so the retry-after time is short.
void
Exchange::RefuseShuttingDown()
{
  Refuse(
    ErrorKind::ShuttingDown, kRetryAfterElsewhere, "instance is shutting down");
}

// After the loop was held up, the caller may have left or given up in events
// that aren't handled yet. Its request would run for nobody.
bool
Exchange::CallerStillWaits()
{
  if (mState.mReactor.Lag() < kMaxLag) {
    return true;
  }
  mCaller->ReadArrived(); // may finish this exchange
  TimePoint answerBy = mStreaming ? mFinalAnswerBy : mFirstByteBy;
  if (!mFinished && mState.Now() >= answerBy) {
    Refuse(ErrorKind::DeadlineUnmeetable,
           kRetryAfterDefault,
           "deadline passed while the instance was held up");
  }
  return !mFinished;
}

bool
Exchange::OnEngine() const
{
  auto service = mConfig->mServices.find(mService);
  return service != mConfig->mServices.end() &&
         service->second.mEngine.has_value();
}

ServerChoice
Exchange::ChooseServer(ModelsWithoutServer& aWithout)
{
  bool engine = OnEngine();
  ServerRequirements requirements;
  requirements.mService = mService;
  requirements.mModel = engine ? mFacts.mModel : "";
  requirements.mAdapter = engine ? mFacts.mAdapter : "";
  requirements.mZone = mState.mSettings.mZone;
  requirements.mExcluded = mBadServers;
  requirements.mMaxPerSlot =
    engine ? kEngineRequestsPerSlot : kServiceRequestsPerSlot;
  if (static_cast<int>(mTriedServers.size()) >= mRoute->mMaxServers) {
    requirements.mOnly = mTriedServers;
  }
  bool anyServer = requirements.mExcluded.empty() && requirements.mOnly.empty();
  std::string key;
  if (anyServer) {
    key = mService + " " + requirements.mModel + " " + requirements.mAdapter;
    auto known = aWithout.find(key);
    if (known != aWithout.end()) {
      return known->second;
    }
  }
  ServerChoice choice =
    mState.mServers.Choose(requirements, mState.Now(), mState.mRandom);
  if (anyServer && !choice.mBackend) {
    aWithout.emplace(std::move(key), choice);
  }
  return choice;
}

bool
Exchange::FindServer(ModelsWithoutServer& aWithout)
{
  auto self = shared_from_this(); // CallerStillWaits may finish it
  if (!MayStart(mState.Now())) {
    RefuseShuttingDown();
    return true;
  }
  if (!CallerStillWaits()) {
    return true;
  }
  ServerChoice choice = ChooseServer(aWithout);
  if (choice.mBackend) {
    mWaiting = false;
    Send(*choice.mBackend);
    return true;
  }
  if (OnEngine() && !choice.mHeld && !mFacts.mModel.empty()) {
    mColdStart = true;
    mLoadRequester.RequestLoad(ToLoadRequest());
  }
  return RefuseIfUnmeetable(choice);
}

bool
Exchange::TriedServersGone(const ServerChoice& aChoice) const
{
  return !mWaiting && !mTriedServers.empty() && !aChoice.mHeld &&
         static_cast<int>(mTriedServers.size()) >= mRoute->mMaxServers;
}

// A request that can't be served in time is refused at once, with the time
// after which a retry can succeed.
bool
Exchange::RefuseIfUnmeetable(const ServerChoice& aChoice)
{
  if (TriedServersGone(aChoice)) {
    Refuse(
      ErrorKind::NoEndpoint, kRetryAfterDefault, "all servers tried are gone");
    return true;
  }
  Millis wait{ 0 };
  if (!aChoice.mHeld) {
    wait = mLoadRequester.Expected(ToLoadRequest()).value_or(Millis(0));
  }
  TimePoint begin = mState.Now() + wait;
  // The time until a server slot comes free isn't known; the default
  // retry-after time stands in for it.
  if (!MayStart(std::max(begin, mState.Now() + kRetryAfterDefault))) {
    RefuseShuttingDown();
    return true;
  }
  if (begin + kServiceTime <= mFirstByteBy) {
    return false;
  }
  RefuseUnmeetable(wait, aChoice.mHeld);
  return true;
}

void
Exchange::RefuseUnmeetable(Millis aWait, bool aHeld)
{
  // Retries of callers that wait for the same load are spread over a fifth of
  // the wait.
  std::uniform_int_distribution<int64_t> spread(0, aWait.count() / 5 + 100);
  Millis after =
    std::max(aWait, kRetryAfterDefault) + Millis(spread(mState.mRandom));
  if (aHeld) {
    Refuse(ErrorKind::NoCapacity, after, "all servers are at capacity");
  } else {
    Refuse(ErrorKind::DeadlineUnmeetable,
           after,
           "model load would miss the deadline");
  }
}

} // namespace caraway
