// TokenAsker.h: asks whether a tenant may spend tokens.
#ifndef caraway_entry_TokenAsker_h
#define caraway_entry_TokenAsker_h

#include <functional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

class TokenAsker
{
public:
  // aGranted false: aAfter says when to come back.
  using Done = std::function<void(bool aGranted, Millis aAfter)>;

  virtual ~TokenAsker() = default;
  // Answers once, now or within a few hundred milliseconds.
  virtual void Ask(const std::string& aTenant, double aTokens, Done aDone) = 0;
};

} // namespace caraway

#endif
