// TokenAsker.h: asks whether a tenant may spend tokens.
#ifndef caraway_entry_TokenAsker_h
#define caraway_entry_TokenAsker_h

#include <functional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

struct TokenRequest
{
  std::string mTenant;
  double mTokens = 0;
  double mReserve = 0;   // of the burst, to be left for more urgent requests
  Millis mPatience{ 0 }; // tokens that accrue within it are waited for
};

class TokenAsker
{
public:
  // aGranted false: aAfter says when to come back.
  using Done = std::function<void(bool aGranted, Millis aAfter)>;

  virtual ~TokenAsker() = default;
  // Answers once, now or soon after the request's patience.
  virtual void Ask(const TokenRequest& aRequest, Done aDone) = 0;
};

} // namespace caraway

#endif
