// Tenant.h: a team and its fleet-wide rate limit.
#ifndef caraway_Tenant_h
#define caraway_Tenant_h

#include <string>

namespace caraway {

struct Tenant
{
  std::string mName;
  double mRate = 0;  // tokens per second, over all instances
  double mBurst = 0; // tokens
};

} // namespace caraway

#endif
