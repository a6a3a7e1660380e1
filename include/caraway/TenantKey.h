// TenantKey.h: a caller's key, as the system keeps it: a digest only.
#ifndef caraway_TenantKey_h
#define caraway_TenantKey_h

#include <string>

namespace caraway {

struct TenantKey
{
  std::string mId; // what operators name to withdraw it
  std::string mTenant;
  std::string mDigest; // SHA-256 of the key, hex
};

} // namespace caraway

#endif
