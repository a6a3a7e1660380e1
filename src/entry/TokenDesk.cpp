#include "entry/TokenDesk.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr char kLease[] = "tokens";

// A keeper answers within a few milliseconds; one that doesn't is gone or
// cut off, and the request can't wait for its successor.
constexpr Millis kAskTime{ 250 };

// While nobody keeps the common part; a lease moves on within seconds.
constexpr Millis kNoKeeper{ 700 };

// Between two looks for tokens.
constexpr Millis kShortestWait{ 15 };

// New tenants' buckets begin to fill so soon after their configuration.
constexpr Millis kPrepare{ 200 };

} // namespace

TokenDesk::TokenDesk(EntryState& aState, StoreClient& aStore, Peers& aPeers)
  : mState(aState)
  , mPeers(aPeers)
  // A new keeper begins with an empty bucket, whatever the former one lent.
  , mLease(aState, aStore, aPeers, kLease, Millis(0))
{
}

void
TokenDesk::Start()
{
  mPeers.Add("lend", [this](const Json::Value& aParams) {
    TokenRequest request;
    request.mTenant = aParams["tenant"].asString();
    request.mTokens = aParams["tokens"].asDouble();
    request.mReserve = aParams["reserve"].asDouble();
    Loan loan = Lend(request);
    Json::Value result;
    result["granted"] = loan.mGranted;
    result["after_ms"] = Json::Int64(loan.mAfter.count());
    return result;
  });
  mPeers.OnFill([this](Json::Value& aPulse) {
    if (mLease.Holds()) {
      aPulse["leases"].append(kLease);
    }
  });
  mLease.Start();
  mState.mReactor.Every(kPrepare, [this] { Prepare(); });
}

// Buckets fill from when they are made. Made at a tenant's first request they
// would refuse it.
void
TokenDesk::Prepare()
{
  if (!mState.mConfig) {
    return;
  }
  TimePoint now = mState.Now();
  bool keeps = mLease.Holds();
  if (keeps) {
    BeginKeeping();
  }
  for (const auto& [name, limit] : mState.mConfig->mTenants) {
    if (limit.mRate <= 0) {
      continue;
    }
    mEven.Prepare(limit, EvenShare(limit, mState.mInstances), now);
    if (keeps) {
      mKept.Prepare(limit, KeeperShare(limit, mState.mInstances), now);
    }
  }
}

// A keeper begins with empty buckets: what the former one lent is unknown.
void
TokenDesk::BeginKeeping()
{
  if (mKeptToken != mLease.Token()) {
    mKept = TenantBuckets();
    mKeptToken = mLease.Token();
  }
}

TokenDesk::Loan
TokenDesk::Lend(const TokenRequest& aRequest)
{
  ServingConfigPtr config = mState.mConfig;
  if (!mLease.Holds() || !config || aRequest.mTokens < 0) {
    return { false, kNoKeeper };
  }
  auto limit = config->mTenants.find(aRequest.mTenant);
  if (limit == config->mTenants.end()) {
    return { false, kNoKeeper };
  }
  TimePoint now = mState.Now();
  BeginKeeping();
  double share = KeeperShare(limit->second, mState.mInstances);
  if (mKept.Take(
        limit->second, share, aRequest.mTokens, aRequest.mReserve, now)) {
    return { true, Millis(0) };
  }
  return { false, mKept.Until(aRequest.mTenant, aRequest.mTokens, now) };
}

void
TokenDesk::Ask(const TokenRequest& aRequest, Done aDone)
{
  AskUntil(aRequest, mState.Now() + aRequest.mPatience, std::move(aDone));
}

// Tokens that accrue within a moment are waited for: a refusal would cost the
// caller more. It also bridges the first moment of a new bucket.
void
TokenDesk::AskUntil(const TokenRequest& aRequest, TimePoint aUntil, Done aDone)
{
  AskOnce(aRequest,
          [this, aRequest, aUntil, aDone](bool aGranted, Millis aAfter) {
            Millis wait = std::max(aAfter, kShortestWait);
            if (aGranted || mState.Now() + wait > aUntil) {
              aDone(aGranted, aAfter);
              return;
            }
            mState.mReactor.After(wait, [this, aRequest, aUntil, aDone] {
              AskUntil(aRequest, aUntil, aDone);
            });
          });
}

void
TokenDesk::AskOnce(const TokenRequest& aRequest, Done aDone)
{
  if (!mState.mConfig) {
    aDone(false, kNoKeeper);
    return;
  }
  auto limit = mState.mConfig->mTenants.find(aRequest.mTenant);
  if (limit == mState.mConfig->mTenants.end()) {
    aDone(true, Millis(0));
    return;
  }
  double share = EvenShare(limit->second, mState.mInstances);
  if (mEven.Take(limit->second,
                 share,
                 aRequest.mTokens,
                 aRequest.mReserve,
                 mState.Now())) {
    aDone(true, Millis(0));
  } else if (mLease.Holds()) {
    Tell(aRequest, "self", Lend(aRequest), aDone);
  } else {
    AskKeeper(aRequest, std::move(aDone));
  }
}

void
TokenDesk::AskKeeper(const TokenRequest& aRequest, Done aDone)
{
  std::string keeper = mPeers.HolderOf(kLease);
  if (keeper.empty()) {
    Tell(aRequest, "nobody", { false, kNoKeeper }, aDone);
    return;
  }
  Json::Value params;
  params["tenant"] = aRequest.mTenant;
  params["tokens"] = aRequest.mTokens;
  params["reserve"] = aRequest.mReserve;
  mPeers.Call(
    keeper,
    "lend",
    params,
    kAskTime,
    [this, aRequest, keeper, aDone](bool aGood, const Json::Value& aResult) {
      Loan loan{ false, kNoKeeper };
      if (aGood && aResult["granted"].isBool() &&
          aResult["after_ms"].isInt64()) {
        loan.mGranted = aResult["granted"].asBool();
        loan.mAfter = Millis(aResult["after_ms"].asInt64());
      }
      Tell(aRequest, keeper, loan, aDone);
    });
}

void
TokenDesk::Tell(const TokenRequest& aRequest,
                const std::string& aBy,
                const Loan& aLoan,
                const Done& aDone)
{
  if (!aLoan.mGranted) {
    mState.mLog.Line("tokens_refused")
      .Text("tenant", aRequest.mTenant)
      .Number("tokens", aRequest.mTokens)
      .Number("reserve", aRequest.mReserve)
      .Text("keeper", aBy)
      .Ms("after_ms", aLoan.mAfter)
      .Count("instances", mState.mInstances);
  }
  aDone(aLoan.mGranted, aLoan.mAfter);
}

} // namespace caraway
