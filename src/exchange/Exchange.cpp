#include "exchange/Exchange.h"

#include <algorithm>
#include <functional>

#include "decide/RateSplit.h"
#include "exchange/ExchangeTimes.h"
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

// Checks of the feeds that a request waits for: one after a standstill, one
// before a denial.
constexpr int kMaxChecks = 2;

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
                   ForwardPeers& aForwardPeers,
                   StreamOrigins& aOrigins,
                   CrashWatch& aCrashWatch,
                   FreshnessCheck& aFreshnessCheck,
                   ServerPermits& aServerPermits,
                   std::shared_ptr<InboundConnection> aCaller,
                   InboundRequest aRequest)
  : mState(aState)
  , mOwner(aOwner)
  , mRateLimiter(aRateLimiter)
  , mLoadRequester(aLoadRequester)
  , mForwardPeers(aForwardPeers)
  , mOrigins(aOrigins)
  , mCrashWatch(aCrashWatch)
  , mFreshnessCheck(aFreshnessCheck)
  , mServerPermits(aServerPermits)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mRequestBody(std::make_shared<const std::string>(std::move(mRequest.mBody)))
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
  mState.NoteStandstill();
  bool doubted = mState.mConfig && mState.InDoubt() && AwaitCheck();
  if (doubted || !Identify()) {
    return;
  }
  ApplyRoute();
  SetDeadlines();
  if (!AwaitProbe()) {
    Admit();
  }
}

// Begins again once the feeds have been checked. Returns false if it has waited
// for that often enough.
bool
Exchange::AwaitCheck()
{
  if (mChecks >= kMaxChecks) {
    return false;
  }
  ++mChecks;
  std::weak_ptr<Exchange> weak = weak_from_this();
  mFreshnessCheck.Check([weak] {
    auto exchange = weak.lock();
    if (exchange && !exchange->mFinished) {
      exchange->Begin();
    }
  });
  return true;
}

// What follows from the route and the tenant.
void
Exchange::ApplyRoute()
{
  mService = PickService(*mRoute, StreamId());
  const TenantLimit* tenant = mConfig->Tenant(mTenant);
  mRegions = RegionRule(mState.mSettings.mRegionOfZone,
                        mRoute->mRegions,
                        tenant ? tenant->mRegions : std::set<std::string>());
  mPriority = std::clamp(mPriority, 0, kLowestPriority);
}

// A request that waits may be sent long after it was admitted. It is sent by
// the configuration of that moment: a key that was withdrawn meanwhile must not
// work any more. Returns false if it was denied. A stream that goes on
// elsewhere stays with the service that began it.
bool
Exchange::FollowConfig()
{
  bool begun = mSends > 0 || mForwards > 0 || mVersion;
  bool newest = mState.mConfigFreshness.ToDeny(mState.Now()) ==
                FeedFreshness::Verdict::Rely;
  if (begun || !newest || mConfig == mState.mConfig) {
    return true;
  }
  if (!Identify()) {
    return false;
  }
  ApplyRoute();
  return true;
}

void
Exchange::Admit()
{
  CountDemand();
  if (!ExpectsCallers() || !MayStart(mState.Now())) {
    RefuseShuttingDown();
    return;
  }
  const TenantLimit* tenant = mConfig->Tenant(mTenant);
  // The instance that forwards a request has charged its tokens.
  if (!tenant || tenant->mRate <= 0 || mRequest.Forwarded()) {
    DispatchFirst();
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

// The instance that forwards a request has counted it.
void
Exchange::CountDemand()
{
  if (mRequest.Forwarded()) {
    return;
  }
  TimePoint now = mState.Now();
  mState.mRetryBudget.OnRequest(mService, now);
  if (!mFacts.mModel.empty()) {
    mState.mDemand.CountOwn(mFacts.mModel, now);
  }
  if (PurposeOfLoad() == LoadPurpose::Impatient) {
    mState.mDemand.CountOwnUrgent(mFacts.mModel, mState.mSettings.mZone, now);
  }
  if (!mFacts.mAdapter.empty()) {
    mState.mDemand.CountOwn(FullName(), now);
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
  if (mState.mAwaitsEvacuations) {
    Refuse(
      ErrorKind::NotReady, kRetryAfterDefault, "evacuated zones not known yet");
    return false;
  }
  if (!mCrashWatch.EndsKnown()) {
    Refuse(ErrorKind::NotReady,
           kRetryAfterDefault,
           "requests that end servers not known yet");
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
    return Deny(ErrorKind::NotFound, "no route matches the host and path");
  }
  mPriority = mRoute->mPriority;
  if (mConfig->mTenants.empty() || mRoute->mAnonymous) {
    return true;
  }
  auto tenant = mConfig->mTenantOfKey.find(mFacts.mTenantKey);
  if (tenant == mConfig->mTenantOfKey.end()) {
    bool hasKey = !mFacts.mTenantKey.empty();
    return Deny(hasKey ? ErrorKind::KeyUnknown : ErrorKind::KeyMissing, "key");
  }
  mTenant = tenant->second;
  const TenantLimit* limit = mConfig->Tenant(mTenant);
  if (limit && limit->mPriority) {
    mPriority = *limit->mPriority;
  }
  return true;
}

// A caller doesn't come back after a denial, so it must be true by the newest
// configuration. While that can't be confirmed, another instance, or this one
// later, may know better. Always returns false.
bool
Exchange::Deny(ErrorKind aKind, const char* aWhy)
{
  auto verdict = mState.mConfigFreshness.ToDeny(mState.Now());
  if (verdict == FeedFreshness::Verdict::Rely) {
    Refuse(aKind, Millis(0), aWhy);
  } else if (verdict == FeedFreshness::Verdict::Unconfirmed || !AwaitCheck()) {
    Refuse(ErrorKind::ConfigUnconfirmed, kRetryAfterDefault, aWhy);
  }
  return false;
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
  DispatchFirst();
}

} // namespace caraway
