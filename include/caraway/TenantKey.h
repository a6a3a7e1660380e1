// TenantKey.h: a caller's key; the system stores only its digest.
#ifndef caraway_TenantKey_h
#define caraway_TenantKey_h

#include <string>

namespace caraway {

struct TenantKey
{
  std::string mId; // operators revoke the key by it
  std::string mTenant;
  std::string mDigest; // SHA-256 of the key, hexadecimal
};

} // namespace caraway

#endif
