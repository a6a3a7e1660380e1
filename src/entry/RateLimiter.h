// RateLimiter.h: admits a request by charging its tokens to its tenant.
#ifndef caraway_entry_RateLimiter_h
#define caraway_entry_RateLimiter_h

#include <functional>
#include <optional>
#include <string>

#include "caraway/Time.h"
#include "decide/TenantTokenBucket.h"

namespace caraway {

struct TokenRequest
{
  std::string mTenant;
  double mTokens = 0;
  double mReserve = 0;  // share of the burst left for more urgent requests
  Millis mMaxWait{ 0 }; // longest wait for tokens to accrue
};

// Tokens charged for a request, by the holder they were taken from.
struct TokenGrant
{
  std::string mTenant;
  double mTokens = 0;
  std::vector<TokenSource> mSources;
  TimePoint mAt{};
};

struct TokenAnswer
{
  std::optional<TokenGrant> mGrant; // nothing = refused
  Millis mRetryAfter{ 0 };          // retry-after time when refused
};

class RateLimiter
{
public:
  using Done = std::function<void(const TokenAnswer& aAnswer)>;

  virtual ~RateLimiter() = default;
  // Calls aDone once, at the latest shortly after mMaxWait.
  virtual void Ask(const TokenRequest& aRequest, Done aDone) = 0;
  // Refunds the tokens of a request that did not run and never will.
  virtual void Refund(const TokenGrant& aGrant) = 0;
};

} // namespace caraway

#endif
