// TenantTokenBucket.h: one tenant's tokens at one instance: its own part, what
// it borrows, who waits for them.
//
// The load it answers: a tenant's callers keep connections, so that its demand
// reaches few instances and moves between them, while each instance holds an
// even part of the limit. A request that the own part can't pay borrows from
// the other holders, one after the other, and lasts a moment meanwhile. Lenders
// keep what their own callers are likely to ask for. What nobody has is
// refused at once, with the time at which it should be there.
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
  double mReserve = 0; // of the burst, to be left for more urgent ones
  TimePoint mUntil{};  // it waits no longer
};

// Tokens that were taken from a holder's bucket.
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
  Millis mAfter{ 0 }; // when its tokens should be there
};

// A holder is to be asked for tokens; OnLoan() or OnNoLoan() ends it.
struct TokenLoanCall
{
  std::string mHolder;
  double mTokens = 0;
  double mReserve = 0;
};

struct TokenLoan
{
  double mTokens = 0; // 0 = none
  Millis mAfter{ 0 }; // it may have some then
};

struct TenantBucketStep
{
  std::vector<TokenPaid> mPaid;
  std::vector<TokenRefused> mRefused;
  std::optional<TokenLoanCall> mCall;
  std::optional<TimePoint>
    mNextStepAt; // Step() again by then; none = nobody waits
};

class TenantTokenBucket
{
public:
  // aPart of aLimit is this instance's from now on.
  void SetPart(const TenantLimit& aLimit, double aPart, TimePoint aNow);
  // Whom to ask, the nearest first.
  void SetHolders(std::vector<std::string> aHolders);

  void Wait(const QueuedTokenRequest& aRequest, TimePoint aNow);
  // Its caller has left; harmless when it isn't waiting.
  void Forget(uint64_t aId);
  TenantBucketStep Step(TimePoint aNow);

  // aHolder was asked at aAskedAt.
  void OnLoan(const std::string& aHolder,
              const TokenLoan& aLoan,
              TimePoint aAskedAt,
              TimePoint aNow);
  void OnNoLoan(const std::string& aHolder, TimePoint aNow);

  TokenLoan Lend(double aTokens, double aReserve, TimePoint aNow);
  // What was taken here at aTakenAt isn't used.
  void GiveBack(double aTokens, TimePoint aTakenAt, TimePoint aNow);
  // Tokens that another holder has given away.
  void Add(double aTokens, TimePoint aNow);
  // Everything, for another holder: this one stops spending.
  double Empty(TimePoint aNow);

  bool Waiting() const { return !mWaiting.empty(); }
  double Level(TimePoint aNow) const;

private:
  struct BorrowedTokens
  {
    std::string mHolder;
    double mTokens = 0;
    TimePoint mUntil{}; // to be spent or banked by then
  };
  void CountDemand(double aTokens, TimePoint aNow);
  double Demand(TimePoint aNow) const;   // tokens a second
  double PaidRate(TimePoint aNow) const; // tokens a second that were paid here
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
  bool mInitialized = false; // mBucket began to fill
  std::deque<QueuedTokenRequest> mWaiting;
  std::vector<BorrowedTokens> mBorrowedTokens;
  std::vector<std::string> mHolders;
  std::map<std::string, TimePoint> mAskNext; // by holder
  bool mLoanCallPending = false;
  TimePoint mCallNext{}; // paces what a flood of refusals asks
  double mDemand = 0;    // decaying sum
  TimePoint mDemandAt{};
  double mPaidTokens = 0; // decaying sum of what was paid here
  TimePoint mPaidTokensAt{};
  TimePoint mPromisedUntil{}; // tokens that refused requests were told of
};

} // namespace caraway

#endif
