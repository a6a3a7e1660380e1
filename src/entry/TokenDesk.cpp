#include "entry/TokenDesk.h"

#include <algorithm>

namespace caraway {

namespace {

// A keeper answers within a few milliseconds; one that doesn't is gone or
// cut off, and the request can't wait for its successor.
constexpr Millis kAskTime{ 250 };

// While nobody keeps the common part; a lease moves on within seconds.
constexpr Millis kNoKeeper{ 700 };

// Between two looks for tokens.
constexpr Millis kShortestWait{ 15 };

// New tenants' buckets begin to fill so soon after their configuration, and
// what isn't needed here is given away so often.
constexpr Millis kPrepare{ 200 };

constexpr char kSpare[] = "spare_tokens";

} // namespace

TokenDesk::TokenDesk(EntryState& aState, Peers& aPeers, LeaseLoop& aLease)
  : mState(aState)
  , mPeers(aPeers)
  , mLease(aLease)
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
  mPeers.Add("take_back", [this](const Json::Value& aParams) {
    TokenGrant grant;
    grant.mTenant = aParams["tenant"].asString();
    grant.mTokens = aParams["tokens"].asDouble();
    grant.mAt = mState.Now() - Millis(aParams["age_ms"].asInt64());
    TakeBack(grant);
    return Json::Value(Json::objectValue);
  });
  mPeers.OnNote(kSpare, [this](const Json::Value& aNote) {
    for (const std::string& tenant : aNote.getMemberNames()) {
      TakeSpare(tenant, aNote[tenant].asDouble());
    }
  });
  mState.mReactor.Every(kPrepare, [this] {
    Prepare();
    GiveSpare();
  });
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
      mKept.Prepare(limit, ZoneShare(limit), now);
    }
  }
}

void
TokenDesk::GiveSpare()
{
  const std::string& zone = mState.mSettings.mZone;
  bool self = mLease.Holds();
  std::string keeper = self ? "" : mPeers.HolderOf(ZoneLeaseName(zone));
  if (!mState.mConfig || (!self && keeper.empty())) {
    return;
  }
  Json::Value note(Json::objectValue);
  for (const auto& [name, limit] : mState.mConfig->mTenants) {
    double spare = limit.mRate <= 0
                     ? 0
                     : mEven.TakeSpare(limit,
                                       EvenShare(limit, mState.mInstances),
                                       mState.Now());
    if (spare > 0 && self) {
      TakeSpare(name, spare);
    } else if (spare > 0) {
      note[name] = spare;
    }
  }
  if (!note.empty()) {
    mPeers.SendNoteTo(keeper, kSpare, note); // lost on the way, it is spent
  }
}

void
TokenDesk::TakeSpare(const std::string& aTenant, double aTokens)
{
  const TenantLimit* limit =
    mState.mConfig ? mState.mConfig->Tenant(aTenant) : nullptr;
  if (limit && mLease.Holds()) {
    BeginKeeping();
    mKept.Add(*limit, ZoneShare(*limit), aTokens, mState.Now());
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
  const TenantLimit* limit = config->Tenant(aRequest.mTenant);
  if (!limit) {
    return { false, kNoKeeper };
  }
  TimePoint now = mState.Now();
  BeginKeeping();
  if (mKept.Take(*limit,
                 ZoneShare(*limit),
                 aRequest.mTokens,
                 aRequest.mReserve,
                 LendsBeyond(),
                 now)) {
    return { true, Millis(0) };
  }
  return { false,
           mKept.Until(
             aRequest.mTenant, aRequest.mTokens, aRequest.mReserve, now) };
}

double
TokenDesk::ZoneShare(const TenantLimit& aLimit) const
{
  return KeeperShare(aLimit, mState.mInstances, mState.mSettings.mZones.size());
}

// Requests beyond a whole part are lent by one keeper of the fleet only: three
// that lend would exceed the burst by three requests.
bool
TokenDesk::LendsBeyond() const
{
  const std::vector<std::string>& zones = mState.mSettings.mZones;
  return zones.empty() || zones.front() == mState.mSettings.mZone;
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
          [this, aRequest, aUntil, aDone](const TokenAnswer& aAnswer) {
            Millis wait = std::max(aAnswer.mAfter, kShortestWait);
            if (aAnswer.mGrant || mState.Now() + wait > aUntil) {
              aDone(aAnswer);
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
    aDone({ std::nullopt, kNoKeeper });
    return;
  }
  const TenantLimit* limit = mState.mConfig->Tenant(aRequest.mTenant);
  if (!limit) {
    aDone({ TokenGrant(), Millis(0) });
    return;
  }
  double share = EvenShare(*limit, mState.mInstances);
  if (mEven.Take(*limit,
                 share,
                 aRequest.mTokens,
                 aRequest.mReserve,
                 false,
                 mState.Now())) {
    aDone({ GrantOf(aRequest, ""), Millis(0) });
    return;
  }
  AskKeepers(aRequest, Zones(), Millis(0), std::move(aDone));
}

std::vector<std::string>
TokenDesk::Zones() const
{
  std::vector<std::string> zones = mState.mSettings.mZones;
  auto own = std::find(zones.begin(), zones.end(), mState.mSettings.mZone);
  if (own != zones.end()) {
    std::rotate(zones.begin(), own, zones.end());
  }
  return zones;
}

// One keeper after the other, until one lends. aAfter: the soonest that those
// before said.
void
TokenDesk::AskKeepers(const TokenRequest& aRequest,
                      const std::vector<std::string>& aZones,
                      Millis aAfter,
                      Done aDone)
{
  std::vector<std::string> rest = aZones;
  while (!rest.empty()) {
    std::string zone = rest.front();
    rest.erase(rest.begin());
    bool self = zone == mState.mSettings.mZone && mLease.Holds();
    std::string keeper = self ? "" : mPeers.HolderOf(ZoneLeaseName(zone));
    if (!self && keeper.empty()) {
      continue;
    }
    auto next =
      [this, aRequest, rest, aAfter, aDone, keeper, self](const Loan& aLoan) {
        if (aLoan.mGranted) {
          const std::string& name = self ? mState.mSettings.mName : keeper;
          aDone({ GrantOf(aRequest, name), Millis(0) });
          return;
        }
        Millis after =
          aAfter > Millis(0) ? std::min(aAfter, aLoan.mAfter) : aLoan.mAfter;
        AskKeepers(aRequest, rest, after, aDone);
      };
    if (self) {
      next(Lend(aRequest));
    } else {
      AskPeer(aRequest, keeper, next);
    }
    return;
  }
  Millis after = aAfter > Millis(0) ? aAfter : kNoKeeper;
  const TenantLimit* limit = mState.mConfig->Tenant(aRequest.mTenant);
  mState.mLog.Line("tokens_refused")
    .Text("tenant", aRequest.mTenant)
    .Number("tokens", aRequest.mTokens)
    .Number("reserve", aRequest.mReserve)
    .Number("rate", limit ? limit->mRate : 0)
    .Number("burst", limit ? limit->mBurst : 0)
    .Text("keeper", aAfter > Millis(0) ? "all" : "nobody")
    .Ms("after_ms", after)
    .Count("instances", mState.mInstances);
  aDone({ std::nullopt, after });
}

TokenGrant
TokenDesk::GrantOf(const TokenRequest& aRequest,
                   const std::string& aKeeper) const
{
  return { aRequest.mTenant, aRequest.mTokens, aKeeper, mState.Now() };
}

// A request that was refused for want of a server comes back and is charged
// again; unless its tokens are given back, a tenant within its rate is refused
// by rate while a model loads.
void
TokenDesk::GiveBack(const TokenGrant& aGrant)
{
  if (aGrant.mTokens <= 0) {
    return;
  }
  if (aGrant.mKeeper.empty()) {
    mEven.GiveBack(aGrant.mTenant, aGrant.mTokens, aGrant.mAt, mState.Now());
    return;
  }
  if (aGrant.mKeeper == mState.mSettings.mName) {
    TakeBack(aGrant);
    return;
  }
  Json::Value params;
  params["tenant"] = aGrant.mTenant;
  params["tokens"] = aGrant.mTokens;
  params["age_ms"] = Json::Int64(mState.AgeOf(aGrant.mAt).count());
  // Lost on the way, they are spent: the limit holds all the same.
  mPeers.Call(aGrant.mKeeper,
              "take_back",
              params,
              kAskTime,
              [](bool, const Json::Value&) {});
}

// A keeper that lost the lease meanwhile has no bucket for it any more; a new
// one's knows nothing of what its forerunner lent.
void
TokenDesk::TakeBack(const TokenGrant& aGrant)
{
  if (mLease.Holds() && aGrant.mTokens > 0) {
    BeginKeeping();
    mKept.GiveBack(aGrant.mTenant, aGrant.mTokens, aGrant.mAt, mState.Now());
  }
}

void
TokenDesk::AskPeer(const TokenRequest& aRequest,
                   const std::string& aKeeper,
                   std::function<void(const Loan&)> aDone)
{
  Json::Value params;
  params["tenant"] = aRequest.mTenant;
  params["tokens"] = aRequest.mTokens;
  params["reserve"] = aRequest.mReserve;
  mPeers.Call(
    aKeeper,
    "lend",
    params,
    kAskTime,
    [done = std::move(aDone)](bool aGood, const Json::Value& aResult) {
      Loan loan{ false, kNoKeeper };
      if (aGood && aResult["granted"].isBool() &&
          aResult["after_ms"].isInt64()) {
        loan.mGranted = aResult["granted"].asBool();
        loan.mAfter = Millis(aResult["after_ms"].asInt64());
      }
      done(loan);
    });
}

} // namespace caraway
