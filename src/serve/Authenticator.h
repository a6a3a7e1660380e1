// Authenticator.h: whose key is it, and is it still good?
#ifndef caraway_serve_Authenticator_h
#define caraway_serve_Authenticator_h

#include <optional>
#include <string>

#include "caraway/Result.h"
#include "platform/ConfigHolder.h"

namespace caraway {

struct Caller
{
  std::string mKeyId;
  std::string mDigest;
  std::string mTenant;
};

// Keys are looked up by their digest in the configuration in force. An
// instance that can't confirm its configuration goes on with what was valid
// for aMaxAge, and then refuses: a key withdrawn elsewhere meanwhile works no
// longer than that.
class Authenticator
{
public:
  Authenticator(const ConfigHolder& aConfig, Millis aMaxAge);

  // aHeader is the Authorization header. KeyMissing, KeyUnknown,
  // KeyStateStale, NotReady.
  Result<Caller> Authenticate(const std::string& aHeader) const;
  // For work that goes on, waiting requests and streams: what has come between
  // (KeyUnknown: withdrawn; KeyStateStale), or nothing.
  std::optional<ErrorKind> Recheck(const Caller& aCaller) const;

private:
  const ConfigHolder& mConfig;
  Millis mMaxAge;
};

} // namespace caraway

#endif
