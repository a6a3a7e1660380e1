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

// New tenants' buckets begin to fill so soon after their configuration.
constexpr Millis kPrepare{ 200 };

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
      mKept.Prepare(limit, ZoneShare(limit), now);
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
  if (mKept.Take(limit->second,
                 ZoneShare(limit->second),
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
                 false,
                 mState.Now())) {
    aDone(true, Millis(0));
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
    auto next = [this, aRequest, rest, aAfter, aDone](const Loan& aLoan) {
      if (aLoan.mGranted) {
        aDone(true, Millis(0));
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
  mState.mLog.Line("tokens_refused")
    .Text("tenant", aRequest.mTenant)
    .Number("tokens", aRequest.mTokens)
    .Number("reserve", aRequest.mReserve)
    .Text("keeper", aAfter > Millis(0) ? "all" : "nobody")
    .Ms("after_ms", after)
    .Count("instances", mState.mInstances);
  aDone(false, after);
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
