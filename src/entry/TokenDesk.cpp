#include "entry/TokenDesk.h"

namespace caraway {

namespace {

constexpr char kLease[] = "tokens";

// A keeper answers within a few milliseconds; one that doesn't is gone or
// cut off, and the request can't wait for its successor.
constexpr Millis kAskTime{ 250 };

// While nobody keeps the common part; a lease moves on within seconds.
constexpr Millis kNoKeeper{ 700 };

// Waited for here instead of refusing: a tenth of an urgent request's time to
// its first event, twice.
constexpr Millis kShortWait{ 80 };

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
    Loan loan =
      Lend(aParams["tenant"].asString(), aParams["tokens"].asDouble());
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
TokenDesk::Lend(const std::string& aTenant, double aTokens)
{
  ServingConfigPtr config = mState.mConfig;
  auto limit = config ? config->mTenants.find(aTenant)
                      : std::map<std::string, TenantLimit>::const_iterator();
  if (!mLease.Holds() || !config || limit == config->mTenants.end() ||
      aTokens < 0) {
    return { false, kNoKeeper };
  }
  TimePoint now = mState.Now();
  BeginKeeping();
  double share = KeeperShare(limit->second, mState.mInstances);
  if (mKept.Take(limit->second, share, aTokens, now)) {
    return { true, Millis(0) };
  }
  return { false, mKept.Until(aTenant, aTokens, now) };
}

// Tokens that accrue within a moment are waited for: a refusal would cost the
// caller more. It also bridges the first moment of a new bucket.
void
TokenDesk::Ask(const std::string& aTenant, double aTokens, Done aDone)
{
  AskOnce(aTenant,
          aTokens,
          [this, aTenant, aTokens, aDone](bool aGranted, Millis aAfter) {
            if (aGranted || aAfter > kShortWait) {
              aDone(aGranted, aAfter);
              return;
            }
            mState.mReactor.After(aAfter, [this, aTenant, aTokens, aDone] {
              AskOnce(aTenant, aTokens, aDone);
            });
          });
}

void
TokenDesk::AskOnce(const std::string& aTenant, double aTokens, Done aDone)
{
  if (!mState.mConfig) {
    aDone(false, kNoKeeper);
    return;
  }
  auto limit = mState.mConfig->mTenants.find(aTenant);
  if (limit == mState.mConfig->mTenants.end()) {
    aDone(true, Millis(0));
    return;
  }
  double share = EvenShare(limit->second, mState.mInstances);
  if (mEven.Take(limit->second, share, aTokens, mState.Now())) {
    aDone(true, Millis(0));
  } else if (mLease.Holds()) {
    Tell(aTenant, aTokens, "self", Lend(aTenant, aTokens), aDone);
  } else {
    AskKeeper(aTenant, aTokens, std::move(aDone));
  }
}

void
TokenDesk::AskKeeper(const std::string& aTenant, double aTokens, Done aDone)
{
  std::string keeper = mPeers.HolderOf(kLease);
  if (keeper.empty()) {
    Tell(aTenant, aTokens, "nobody", { false, kNoKeeper }, aDone);
    return;
  }
  Json::Value params;
  params["tenant"] = aTenant;
  params["tokens"] = aTokens;
  mPeers.Call(keeper,
              "lend",
              params,
              kAskTime,
              [this, aTenant, aTokens, keeper, aDone](
                bool aGood, const Json::Value& aResult) {
                Loan loan{ false, kNoKeeper };
                if (aGood && aResult["granted"].isBool() &&
                    aResult["after_ms"].isInt64()) {
                  loan.mGranted = aResult["granted"].asBool();
                  loan.mAfter = Millis(aResult["after_ms"].asInt64());
                }
                Tell(aTenant, aTokens, keeper, loan, aDone);
              });
}

void
TokenDesk::Tell(const std::string& aTenant,
                double aTokens,
                const std::string& aBy,
                const Loan& aLoan,
                const Done& aDone)
{
  if (!aLoan.mGranted) {
    mState.mLog.Line("tokens_refused")
      .Text("tenant", aTenant)
      .Number("tokens", aTokens)
      .Text("keeper", aBy)
      .Ms("after_ms", aLoan.mAfter)
      .Count("instances", mState.mInstances);
  }
  aDone(aLoan.mGranted, aLoan.mAfter);
}

} // namespace caraway
