#include "entry/TenantRateLimiter.h"

#include <algorithm>

#include "decide/RateSplit.h"

namespace caraway {

namespace {

// Buckets follow changes of limits at this interval, and changes of the members
// at once.
constexpr Millis kRefreshInterval{ 100 };

constexpr Millis kMinTimer{ 1 };

constexpr char kLendMethod[] = "lend";
constexpr char kReturnMethod[] = "take_back";
constexpr char kSpareTokensMessage[] = "spare_tokens";

constexpr Millis kReturnTimeout{ 250 };

// Retry-after time while there is no configuration.
constexpr Millis kNotConfiguredRetry{ 700 };

// All zones, aSettings' own first.
std::vector<std::string>
OwnZoneFirst(const EntrySettings& aSettings)
{
  std::vector<std::string> zones = aSettings.mZones;
  auto own = std::find(zones.begin(), zones.end(), aSettings.mZone);
  if (own != zones.end()) {
    std::rotate(zones.begin(), own, zones.end());
  }
  return zones;
}

} // namespace

TenantRateLimiter::TenantRateLimiter(EntryState& aState,
                                     Peers& aPeers,
                                     Membership& aMembers)
  : mState(aState)
  , mPeers(aPeers)
  , mMembers(aMembers)
  , mHolders(aState.mSettings.mName, OwnZoneFirst(aState.mSettings))
{
}

void
TenantRateLimiter::Start()
{
  mPeers.AddMethod(kLendMethod, [this](const Json::Value& aParams) {
    return OnLend(aParams);
  });
  mPeers.AddMethod(kReturnMethod, [this](const Json::Value& aParams) {
    OnReturnedTokens(aParams);
    return Json::Value(Json::objectValue);
  });
  mPeers.OnMessage(kSpareTokensMessage, [this](const Json::Value& aMessage) {
    OnSpareTokens(aMessage);
  });
  mMembers.OnChange([this] { Refresh(); });
  mState.mReactor.Every(kRefreshInterval, [this] { Refresh(); });
}

// Creates and updates the bucket of each limited tenant. Buckets are created in
// advance because they start empty: one created at a tenant's first request
// would refuse it.
void
TenantRateLimiter::Refresh()
{
  if (!mState.mConfig) {
    return;
  }
  bool maySpend = mMembers.MaySpend();
  bool moved =
    mHolders.SetMembers(mState.mSettings.mZone, mMembers.CountedMembers());
  if (!moved && maySpend == mSplitMaySpend && mState.mConfig == mSplitConfig) {
    return;
  }
  mSplitMaySpend = maySpend;
  mSplitConfig = mState.mConfig;
  TimePoint now = mState.Now();
  for (const auto& [name, limit] : mState.mConfig->mTenants) {
    if (limit.mRate > 0) {
      double part = maySpend ? mHolders.OwnPart(limit) : 0;
      mTenants[name].mTokenBucket.SetPart(limit, part, now);
    }
  }
}

// The members of the own zone are those that the limits are divided among, see
// Refresh(); those of the others are the instances known there.
void
TenantRateLimiter::UpdateHolders()
{
  if (mPeerListVersion == mPeers.ListVersion()) {
    return;
  }
  mPeerListVersion = mPeers.ListVersion();
  std::map<std::string, std::vector<std::string>> zones;
  for (const auto& [name, peer] : mPeers.All()) {
    zones[peer.mZone].push_back(name);
  }
  for (const std::string& zone : mState.mSettings.mZones) {
    if (zone != mState.mSettings.mZone) {
      mHolders.SetMembers(zone, std::move(zones[zone]));
    }
  }
}

void
TenantRateLimiter::Ask(const TokenRequest& aRequest, Done aDone)
{
  if (!mState.mConfig) {
    aDone({ std::nullopt, kNotConfiguredRetry });
    return;
  }
  const TenantLimit* limit = mState.mConfig->Tenant(aRequest.mTenant);
  if (!limit || limit->mRate <= 0) {
    aDone({ TokenGrant(), Millis(0) });
    return;
  }
  if (!mTenants.count(aRequest.mTenant)) {
    Refresh();
  }
  TimePoint now = mState.Now();
  QueuedTokenRequest queued;
  queued.mId = ++mNextId;
  queued.mTokens = aRequest.mTokens;
  queued.mReserve = aRequest.mReserve;
  queued.mUntil = now + aRequest.mMaxWait;
  mWaiters[queued.mId] = { aRequest, std::move(aDone) };
  mTenants[aRequest.mTenant].mTokenBucket.Wait(queued, now);
  Step(aRequest.mTenant);
}

void
TenantRateLimiter::Step(const std::string& aTenant)
{
  TenantTokenBucket& bucket = mTenants[aTenant].mTokenBucket;
  const TenantLimit* limit = mState.mConfig->Tenant(aTenant);
  if (limit && bucket.Waiting()) {
    UpdateHolders();
    bucket.SetHolders(
      mHolders.Lenders(*limit, [this](const std::string& aPeer) {
        return mPeers.Alive(aPeer);
      }));
  }
  TenantBucketStep step = bucket.Step(mState.Now());
  if (step.mCall) {
    Call(aTenant, *step.mCall);
  }
  if (step.mNextStepAt) {
    ArmTimer(aTenant, *step.mNextStepAt);
  }
  for (const TokenPaid& paid : step.mPaid) {
    OnGranted(aTenant, paid);
  }
  for (const TokenRefused& refused : step.mRefused) {
    OnRefused(refused);
  }
}

void
TenantRateLimiter::ArmTimer(const std::string& aTenant, TimePoint aAt)
{
  Tenant& tenant = mTenants[aTenant];
  TimePoint now = mState.Now();
  if (tenant.mTimerAt > now && tenant.mTimerAt <= aAt) {
    return; // an earlier timer is pending
  }
  auto wait = std::chrono::duration_cast<Millis>(aAt - now);
  TimePoint at = now + std::max(wait, kMinTimer);
  tenant.mTimerAt = at;
  mState.mReactor.After(std::max(wait, kMinTimer), [this, aTenant, at] {
    Tenant& current = mTenants[aTenant];
    if (current.mTimerAt == at) {
      current.mTimerAt = TimePoint();
      Step(aTenant);
    }
  });
}

void
TenantRateLimiter::Call(const std::string& aTenant, const TokenLoanCall& aCall)
{
  Json::Value params;
  params["tenant"] = aTenant;
  params["tokens"] = aCall.mTokens;
  params["reserve"] = aCall.mReserve;
  TimePoint requestedAt = mState.Now();
  std::string holder = aCall.mHolder;
  mPeers.Call(holder,
              kLendMethod,
              params,
              kLoanLife,
              [this, aTenant, holder, requestedAt](bool aGood,
                                                   const Json::Value& aResult) {
                TenantTokenBucket& bucket = mTenants[aTenant].mTokenBucket;
                if (aGood && aResult["tokens"].isNumeric() &&
                    aResult["after_ms"].isInt64()) {
                  TokenLoan loan{ aResult["tokens"].asDouble(),
                                  Millis(aResult["after_ms"].asInt64()) };
                  bucket.OnLoan(holder, loan, requestedAt, mState.Now());
                } else {
                  bucket.OnLoanFailed(holder, mState.Now());
                }
                mState.mMetrics.Count("caraway_token_loans_total", "");
                Step(aTenant);
              });
}

void
TenantRateLimiter::OnGranted(const std::string& aTenant, const TokenPaid& aPaid)
{
  auto found = mWaiters.find(aPaid.mId);
  if (found == mWaiters.end()) {
    return;
  }
  Waiter waiter = std::move(found->second);
  mWaiters.erase(found);
  TokenGrant grant;
  grant.mTenant = aTenant;
  grant.mTokens = waiter.mRequest.mTokens;
  grant.mSources = aPaid.mSources;
  grant.mAt = mState.Now();
  waiter.mDone({ grant, Millis(0) });
}

void
TenantRateLimiter::OnRefused(const TokenRefused& aRefused)
{
  auto found = mWaiters.find(aRefused.mId);
  if (found == mWaiters.end()) {
    return;
  }
  Waiter waiter = std::move(found->second);
  mWaiters.erase(found);
  const std::string& name = waiter.mRequest.mTenant;
  const TenantLimit* limit = mState.mConfig->Tenant(name);
  const TenantTokenBucket& bucket = mTenants[name].mTokenBucket;
  mState.mLog.Line("tokens_refused")
    .Text("tenant", name)
    .Number("tokens", waiter.mRequest.mTokens)
    .Number("reserve", waiter.mRequest.mReserve)
    .Number("rate", limit ? limit->mRate : 0)
    .Number("burst", limit ? limit->mBurst : 0)
    .Number("level", bucket.Level(mState.Now()))
    .Flag("holds_part", mMembers.MaySpend())
    .Count("members", static_cast<int64_t>(mMembers.CountedMembers().size()))
    .Count("instances", mState.mInstances)
    .Ms("after_ms", aRefused.mRetryAfter);
  waiter.mDone({ std::nullopt, aRefused.mRetryAfter });
}

// ---- Other instances

Json::Value
TenantRateLimiter::OnLend(const Json::Value& aParams)
{
  Json::Value result;
  TokenLoan loan{ 0, kNotConfiguredRetry };
  auto found = mTenants.find(aParams["tenant"].asString());
  double tokens = aParams["tokens"].asDouble();
  if (found != mTenants.end() && tokens > 0) {
    loan = found->second.mTokenBucket.Lend(
      tokens, aParams["reserve"].asDouble(), mState.Now());
  }
  result["tokens"] = loan.mTokens;
  result["after_ms"] = Json::Int64(loan.mRetryAfter.count());
  return result;
}

void
TenantRateLimiter::OnReturnedTokens(const Json::Value& aParams)
{
  auto found = mTenants.find(aParams["tenant"].asString());
  double tokens = aParams["tokens"].asDouble();
  if (found != mTenants.end() && tokens > 0) {
    TimePoint now = mState.Now();
    TimePoint takenAt = now - Millis(aParams["age_ms"].asInt64());
    found->second.mTokenBucket.Refund(tokens, takenAt, now);
  }
}

void
TenantRateLimiter::OnSpareTokens(const Json::Value& aMessage)
{
  for (const std::string& name : aMessage.getMemberNames()) {
    auto found = mTenants.find(name);
    if (found != mTenants.end() && aMessage[name].asDouble() > 0) {
      found->second.mTokenBucket.Add(aMessage[name].asDouble(), mState.Now());
    }
  }
}

void
TenantRateLimiter::Leave()
{
  Json::Value message(Json::objectValue);
  for (auto& [name, tenant] : mTenants) {
    double level = tenant.mTokenBucket.TakeAll(mState.Now());
    if (level > 0) {
      message[name] = level;
    }
  }
  for (const std::string& peer : mMembers.CountedMembers()) {
    if (!message.empty() && mPeers.Alive(peer)) {
      // If the message is lost, the tokens count as spent.
      mPeers.SendMessageTo(peer, kSpareTokensMessage, message);
      return;
    }
  }
}

// A request that was refused because no server was available is retried and
// charged again. Without the refund, a tenant within its rate would be refused
// by the rate limit while a model loads.
void
TenantRateLimiter::Refund(const TokenGrant& aGrant)
{
  for (const TokenSource& source : aGrant.mSources) {
    if (source.mHolder.empty()) {
      mTenants[aGrant.mTenant].mTokenBucket.Refund(
        source.mTokens, aGrant.mAt, mState.Now());
      continue;
    }
    Json::Value params;
    params["tenant"] = aGrant.mTenant;
    params["tokens"] = source.mTokens;
    params["age_ms"] = Json::Int64(mState.AgeOf(aGrant.mAt).count());
    // If the call fails, the tokens count as spent; the limit still holds.
    mPeers.Call(source.mHolder,
                kReturnMethod,
                params,
                kReturnTimeout,
                [](bool, const Json::Value&) {});
  }
}

} // namespace caraway
