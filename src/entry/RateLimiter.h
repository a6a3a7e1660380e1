// RateLimiter.h: asks whether a tenant may spend tokens.
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
  double mReserve = 0;  // of the burst, to be left for more urgent requests
  Millis mMaxWait{ 0 }; // tokens that accrue within it are waited for
};

// Tokens that were taken for a request, and where.
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
  Millis mAfter{ 0 };               // when refused: come back then
};

class RateLimiter
{
public:
  using Done = std::function<void(const TokenAnswer& aAnswer)>;

  virtual ~RateLimiter() = default;
  // Answers once, now or soon after the request's patience.
  virtual void Ask(const TokenRequest& aRequest, Done aDone) = 0;
  // The request didn't run, and never will.
  virtual void GiveBack(const TokenGrant& aGrant) = 0;
};

} // namespace caraway

#endif
