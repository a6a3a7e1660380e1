#include "decide/TenantTokenBucket.h"

#include <algorithm>
#include <cmath>

#include "decide/RateSplit.h"

namespace caraway {

namespace {

// Averaging time in seconds for demand and paid tokens.
constexpr double kAveragingSeconds = 1.0;

// A lender keeps the expected demand of its own callers for this many seconds,
// up to this share of its bucket.
constexpr double kKeepSeconds = 0.25;
constexpr double kMaxKept = 0.5;

// Smaller loans, as a share of the tokens asked for, aren't worth a message.
constexpr double kMinLoanShare = 0.1;

// Bounds of the time after which a holder without spare tokens is asked again.
constexpr Millis kMinAskInterval{ 40 };
constexpr Millis kMaxAskInterval{ 300 };

// A holder that doesn't answer isn't asked again for this time.
constexpr Millis kSilentHolderPause{ 1000 };

// Minimum time between two loan calls, so that a tenant far above its limit
// doesn't flood the other holders.
constexpr Millis kMinCallInterval{ 2 };

// Maximum share of the burst that one request gathers; a request that costs
// more overdraws the bucket by the rest, so that it can pass at all.
constexpr double kMaxGathered = 0.5;

// Bounds of the retry-after time of a refused request.
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kMaxRetryAfter{ 30000 };

// Minimum share of the rate that retry-after times of refused requests are
// based on, when new demand takes all of it.
constexpr double kMinPaceShare = 0.05;

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

Millis
InSeconds(double aSeconds)
{
  return Millis(static_cast<int64_t>(std::ceil(aSeconds * 1000)));
}

void
AddDecaying(double& aSum, TimePoint& aAt, double aMore, TimePoint aNow)
{
  aSum =
    aSum * std::exp(-SecondsBetween(aAt, aNow) / kAveragingSeconds) + aMore;
  aAt = aNow;
}

} // namespace

void
TenantTokenBucket::SetPart(const TenantLimit& aLimit,
                           double aPart,
                           TimePoint aNow)
{
  mLimit = aLimit;
  mPart = aPart;
  double rate = aLimit.mRate * aPart;
  double burst = SplitBurst(aLimit) * aPart;
  if (!mInitialized) {
    mInitialized = true;
    mBucket = TokenBucket(rate, burst, aNow);
  } else if (mBucket.Rate() != rate || mBucket.Burst() != burst) {
    mBucket.Resize(rate, burst, aNow);
  }
}

void
TenantTokenBucket::SetHolders(std::vector<std::string> aHolders)
{
  mHolders = std::move(aHolders);
}

double
TenantTokenBucket::Level(TimePoint aNow) const
{
  return mBucket.Level(aNow);
}

void
TenantTokenBucket::CountDemand(double aTokens, TimePoint aNow)
{
  AddDecaying(mDemand, mDemandAt, aTokens, aNow);
}

double
TenantTokenBucket::Demand(TimePoint aNow) const
{
  return mDemand *
         std::exp(-SecondsBetween(mDemandAt, aNow) / kAveragingSeconds) /
         kAveragingSeconds;
}

double
TenantTokenBucket::PaidRate(TimePoint aNow) const
{
  return mPaidTokens *
         std::exp(-SecondsBetween(mPaidTokensAt, aNow) / kAveragingSeconds) /
         kAveragingSeconds;
}

double
TenantTokenBucket::RequiredTokens(const QueuedTokenRequest& aRequest) const
{
  return std::min(aRequest.mTokens, kMaxGathered * SplitBurst(mLimit));
}

double
TenantTokenBucket::ReservedTokens(double aReserve) const
{
  return aReserve * mBucket.Burst();
}

double
TenantTokenBucket::Borrowed() const
{
  double sum = 0;
  for (const BorrowedTokens& borrowed : mBorrowedTokens) {
    sum += borrowed.mTokens;
  }
  return sum;
}

// Smallest reserve (most urgent) first, then in order of arrival.
void
TenantTokenBucket::Wait(const QueuedTokenRequest& aRequest, TimePoint aNow)
{
  CountDemand(aRequest.mTokens, aNow);
  auto behind = std::upper_bound(
    mWaiting.begin(),
    mWaiting.end(),
    aRequest,
    [](const QueuedTokenRequest& aOne, const QueuedTokenRequest& aOther) {
      return aOne.mReserve < aOther.mReserve;
    });
  mWaiting.insert(behind, aRequest);
}

void
TenantTokenBucket::Forget(uint64_t aId)
{
  for (auto at = mWaiting.begin(); at != mWaiting.end(); ++at) {
    if (at->mId == aId) {
      mWaiting.erase(at);
      return;
    }
  }
}

// Borrowed tokens that weren't spent in time go into the bucket, as far as they
// fit.
void
TenantTokenBucket::DepositBorrowed(TimePoint aNow)
{
  std::vector<BorrowedTokens> kept;
  for (BorrowedTokens& borrowed : mBorrowedTokens) {
    if (!mWaiting.empty() && aNow < borrowed.mUntil) {
      kept.push_back(std::move(borrowed));
    } else if (aNow <= borrowed.mUntil) {
      mBucket.Add(borrowed.mTokens, aNow);
    }
  }
  mBorrowedTokens = std::move(kept);
}

std::optional<TokenPaid>
TenantTokenBucket::Pay(const QueuedTokenRequest& aRequest, TimePoint aNow)
{
  double need = RequiredTokens(aRequest);
  double reserve = std::min(ReservedTokens(aRequest.mReserve),
                            std::max(0.0, mBucket.Burst() - need));
  double level = std::max(0.0, mBucket.Level(aNow));
  if (Borrowed() + level < need + reserve) {
    return std::nullopt;
  }
  TokenPaid paid;
  paid.mId = aRequest.mId;
  double left = need;
  while (!mBorrowedTokens.empty() && left > 0) {
    BorrowedTokens& first = mBorrowedTokens.front();
    double taken = std::min(first.mTokens, left);
    paid.mSources.push_back({ first.mHolder, taken });
    first.mTokens -= taken;
    left -= taken;
    if (first.mTokens <= 0) {
      mBorrowedTokens.erase(mBorrowedTokens.begin());
    }
  }
  // Rounding may leave the level slightly below what was compared.
  left = std::min(left, level);
  if (left > 0 && mBucket.Take(left, aNow)) {
    paid.mSources.push_back({ "", left });
  }
  if (aRequest.mTokens > need) {
    mBucket.Overdraw(aRequest.mTokens - need, aNow);
  }
  AddDecaying(mPaidTokens, mPaidTokensAt, aRequest.mTokens, aNow);
  return paid;
}

// Refused requests get successive retry-after times, spaced by the rate at
// which tokens accrue beyond the new demand. In an overload these are far away:
// an earlier retry would only take tokens from requests that can still be
// served in time.
TokenRefused
TenantTokenBucket::Refuse(const QueuedTokenRequest& aRequest, TimePoint aNow)
{
  double rate =
    std::max({ PaidRate(aNow), mBucket.Rate(), kMinPaceShare * mLimit.mRate });
  double pace = std::max(rate - Demand(aNow), kMinPaceShare * rate);
  TimePoint from = std::max(mPromisedUntil, aNow);
  TimePoint last = aNow + kMaxRetryAfter;
  Millis cost = std::min(InSeconds(aRequest.mTokens / std::max(pace, 1e-6)),
                         kMaxRetryAfter);
  mPromisedUntil = std::min(from + cost, last);
  Millis after = std::chrono::duration_cast<Millis>(mPromisedUntil - aNow);
  return { aRequest.mId, std::max(after, kMinRetryAfter) };
}

// Time at which the first waiting request can be paid from the own part,
// without further loans.
TimePoint
TenantTokenBucket::OwnTokensAt(TimePoint aNow) const
{
  const QueuedTokenRequest& first = mWaiting.front();
  double need = RequiredTokens(first);
  double reserve = std::min(ReservedTokens(first.mReserve),
                            std::max(0.0, mBucket.Burst() - need));
  double missing =
    need + reserve - Borrowed() - std::max(0.0, mBucket.Level(aNow));
  if (mBucket.Rate() <= 0 || need > mBucket.Burst() + Borrowed()) {
    return TimePoint::max();
  }
  return aNow + InSeconds(std::max(0.0, missing) / mBucket.Rate());
}

std::optional<TokenLoanCall>
TenantTokenBucket::NextCall(TimePoint aNow)
{
  if (mLoanCallPending || aNow < mNextCallAt || mWaiting.empty()) {
    return std::nullopt;
  }
  for (const std::string& holder : mHolders) {
    auto next = mNextAskAt.find(holder);
    if (next != mNextAskAt.end() && aNow < next->second) {
      continue;
    }
    double missing = -Borrowed() - std::max(0.0, mBucket.Level(aNow));
    for (const QueuedTokenRequest& request : mWaiting) {
      missing += RequiredTokens(request);
    }
    missing += ReservedTokens(mWaiting.front().mReserve);
    missing = std::min(missing, kMaxGathered * SplitBurst(mLimit));
    if (missing <= 0) {
      return std::nullopt;
    }
    mLoanCallPending = true;
    mNextCallAt = aNow + kMinCallInterval;
    return TokenLoanCall{ holder, missing, mWaiting.front().mReserve };
  }
  return std::nullopt;
}

TenantBucketStep
TenantTokenBucket::Step(TimePoint aNow)
{
  TenantBucketStep step;
  while (!mWaiting.empty()) {
    auto paid = Pay(mWaiting.front(), aNow);
    if (!paid) {
      break;
    }
    step.mPaid.push_back(std::move(*paid));
    mWaiting.pop_front();
  }
  step.mCall = NextCall(aNow);
  TimePoint nextLoanAt = TimePoint::max();
  for (const std::string& holder : mHolders) {
    auto next = mNextAskAt.find(holder);
    nextLoanAt =
      std::min(nextLoanAt, next == mNextAskAt.end() ? aNow : next->second);
  }
  nextLoanAt = mLoanCallPending ? aNow : std::max(nextLoanAt, mNextCallAt);
  TimePoint payableAt = mWaiting.empty()
                          ? TimePoint::max()
                          : std::min(OwnTokensAt(aNow), nextLoanAt);
  std::deque<QueuedTokenRequest> waiting;
  for (const QueuedTokenRequest& request : mWaiting) {
    // A request that can't be paid in time is refused at once.
    if (aNow >= request.mUntil || payableAt > request.mUntil) {
      step.mRefused.push_back(Refuse(request, aNow));
    } else {
      waiting.push_back(request);
    }
  }
  mWaiting = std::move(waiting);
  DepositBorrowed(aNow);
  for (const QueuedTokenRequest& request : mWaiting) {
    TimePoint until =
      std::min(request.mUntil, std::max(payableAt, aNow + kMinCallInterval));
    step.mNextStepAt = std::min(step.mNextStepAt.value_or(until), until);
  }
  return step;
}

void
TenantTokenBucket::OnLoan(const std::string& aHolder,
                          const TokenLoan& aLoan,
                          TimePoint aAskedAt,
                          TimePoint aNow)
{
  mLoanCallPending = false;
  if (aLoan.mTokens > 0 && aNow - aAskedAt < kLoanLife) {
    mBorrowedTokens.push_back({ aHolder, aLoan.mTokens, aAskedAt + kLoanLife });
  }
  mNextAskAt[aHolder] =
    aNow + std::clamp(aLoan.mRetryAfter, Millis(0), kMaxAskInterval);
}

void
TenantTokenBucket::OnLoanFailed(const std::string& aHolder, TimePoint aNow)
{
  mLoanCallPending = false;
  mNextAskAt[aHolder] = aNow + kSilentHolderPause;
}

TokenLoan
TenantTokenBucket::Lend(double aTokens, double aReserve, TimePoint aNow)
{
  double burst = mBucket.Burst();
  double demand = Demand(aNow);
  double keep = std::max(ReservedTokens(aReserve),
                         std::min(kMaxKept * burst, kKeepSeconds * demand));
  double spare = mBucket.Level(aNow) - keep;
  double least = std::min(aTokens, kMinLoanShare * burst);
  double given = mWaiting.empty() ? std::min(aTokens, spare) : 0;
  if (given > 0 && given >= least && mBucket.Take(given, aNow)) {
    spare -= given;
  } else {
    given = 0;
  }
  double gain = mBucket.Rate() - demand;
  double missing = std::max(least, kMinLoanShare * burst) - spare;
  Millis after =
    gain > 0 ? InSeconds(std::min(missing / gain, 1.0)) : kMaxAskInterval;
  bool more = given > 0 && spare > 0;
  return { given,
           more ? Millis(0)
                : std::clamp(after, kMinAskInterval, kMaxAskInterval) };
}

void
TenantTokenBucket::Refund(double aTokens, TimePoint aTakenAt, TimePoint aNow)
{
  mBucket.Refund(aTokens, aTakenAt, aNow);
}

void
TenantTokenBucket::Add(double aTokens, TimePoint aNow)
{
  mBucket.Add(aTokens, aNow);
}

double
TenantTokenBucket::TakeAll(TimePoint aNow)
{
  double level = std::max(0.0, mBucket.Level(aNow));
  return level > 0 && mBucket.Take(level, aNow) ? level : 0;
}

} // namespace caraway
