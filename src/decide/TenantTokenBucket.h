// TenantTokenBucket.h: one tenant's tokens at one instance: its own part,
// borrowed tokens, and the requests waiting for tokens.
//
// The load that it is designed for: a tenant's callers keep their connections,
// so its demand reaches few instances and moves between them, while each
// instance holds an equal part of the limit. A request that the own part can't
// pay waits briefly while the instance borrows from the other holders, one
// after the other. Lenders keep what their own callers are likely to need.
// If no holder has spare tokens, the request is refused at once, with the time
// at which its tokens should be available.
#ifndef caraway_decide_TenantTokenBucket_h
#define caraway_decide_TenantTokenBucket_h

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/ServingConfig.h"
#include "decide/TokenBucket.h"

namespace caraway {

struct QueuedTokenRequest
{
  uint64_t mId = 0;
  double mTokens = 0;
  double mReserve = 0; // share of the burst left for more urgent requests
  TimePoint mUntil{};  // refused if not paid by then
};

// Tokens taken from one holder's bucket.
struct TokenSource
{
  std::string mHolder; // "" = this instance
  double mTokens = 0;
};

struct TokenPaid
{
  uint64_t mId = 0;
  std::vector<TokenSource> mSources;
};

struct TokenRefused
{
  uint64_t mId = 0;
  Millis mRetryAfter{ 0 }; // retry-after time
};

// A loan to request from a holder; completed by OnLoan() or OnLoanFailed().
struct TokenLoanCall
{
  std::string mHolder;
  double mTokens = 0;
  double mReserve = 0;
};

struct TokenLoan
{
  double mTokens = 0;      // 0 = none
  Millis mRetryAfter{ 0 }; // when the holder may have spare tokens
};

struct TenantBucketStep
{
  std::vector<TokenPaid> mPaid;
  std::vector<TokenRefused> mRefused;
  std::optional<TokenLoanCall> mCall;
  // Call Step() by then; none = nothing waits.
  std::optional<TimePoint> mNextStepAt;
};

class TenantTokenBucket
{
public:
  // Sets this instance's part of aLimit, from aNow on.
  void SetPart(const TenantLimit& aLimit, double aPart, TimePoint aNow);
  // Holders to borrow from, nearest first.
  void SetHolders(std::vector<std::string> aHolders);

  void Wait(const QueuedTokenRequest& aRequest, TimePoint aNow);
  // The request's caller disconnected; no effect if it isn't waiting.
  void Forget(uint64_t aId);
  TenantBucketStep Step(TimePoint aNow);

  // Answer to a loan call made at aAskedAt.
  void OnLoan(const std::string& aHolder,
              const TokenLoan& aLoan,
              TimePoint aAskedAt,
              TimePoint aNow);
  void OnLoanFailed(const std::string& aHolder, TimePoint aNow);

  TokenLoan Lend(double aTokens, double aReserve, TimePoint aNow);
  // aTokens that were taken here at aTakenAt weren't used.
  void Refund(double aTokens, TimePoint aTakenAt, TimePoint aNow);
  // Adds tokens that another holder handed over.
  void Add(double aTokens, TimePoint aNow);
  // Takes all tokens, to hand them over: this holder stops spending.
  double TakeAll(TimePoint aNow);

  bool Waiting() const { return !mWaiting.empty(); }
  double Level(TimePoint aNow) const;

private:
  struct BorrowedTokens
  {
    std::string mHolder;
    double mTokens = 0;
    TimePoint mUntil{}; // must be spent or put into mBucket by then
  };
  void CountDemand(double aTokens, TimePoint aNow);
  double Demand(TimePoint aNow) const;   // tokens per second
  double PaidRate(TimePoint aNow) const; // tokens per second paid here
  double RequiredTokens(const QueuedTokenRequest& aRequest) const;
  double ReservedTokens(double aReserve) const;
  double Borrowed() const;
  void DepositBorrowed(TimePoint aNow);
  std::optional<TokenPaid> Pay(const QueuedTokenRequest& aRequest,
                               TimePoint aNow);
  TokenRefused Refuse(const QueuedTokenRequest& aRequest, TimePoint aNow);
  std::optional<TokenLoanCall> NextCall(TimePoint aNow);
  TimePoint OwnTokensAt(TimePoint aNow) const;

  TenantLimit mLimit;
  double mPart = 0;
  TokenBucket mBucket{ 0, 0, TimePoint() };
  bool mInitialized = false; // mBucket has been created
  std::deque<QueuedTokenRequest> mWaiting;
  std::vector<BorrowedTokens> mBorrowedTokens;
  std::vector<std::string> mHolders;
  std::map<std::string, TimePoint> mNextAskAt; // by holder
  bool mLoanCallPending = false;
  TimePoint mNextCallAt{}; // limits loan calls when many requests are refused
  double mDemand = 0;      // decaying sum
  TimePoint mDemandAt{};
  double mPaidTokens = 0; // decaying sum
  TimePoint mPaidTokensAt{};
  TimePoint mPromisedUntil{}; // latest retry time given to a refused request
};

} // namespace caraway

#endif
