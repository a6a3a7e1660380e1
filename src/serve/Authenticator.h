// Authenticator.h: checks tenant keys against the configuration in force.
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

// Looks keys up by their digest in the configuration in force. An instance that
// can't confirm its configuration accepts the last known keys for aMaxAge and
// refuses all requests after that, so a key withdrawn elsewhere in the meantime
// stays valid no longer than aMaxAge.
class Authenticator
{
public:
  Authenticator(const ConfigHolder& aConfig, Millis aMaxAge);

  // aHeader: value of the Authorization header. Errors: KeyMissing, KeyUnknown,
  // KeyStateStale, NotReady.
  Result<Caller> Authenticate(const std::string& aHeader) const;
  // Rechecks the key of a waiting request or a running stream. Returns
  // KeyUnknown if it was withdrawn, KeyStateStale if the configuration wasn't
  // confirmed within aMaxAge, and nothing while the key is valid.
  std::optional<ErrorKind> Recheck(const Caller& aCaller) const;

private:
  const ConfigHolder& mConfig;
  Millis mMaxAge;
};

} // namespace caraway

#endif
