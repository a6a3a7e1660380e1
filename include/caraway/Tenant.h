// Tenant.h: a team, with its fleet-wide rate.
#ifndef caraway_Tenant_h
#define caraway_Tenant_h

#include <string>

namespace caraway {

struct Tenant
{
  std::string mName;
  double mRate = 0;  // tokens a second over all instances together
  double mBurst = 0; // tokens
};

} // namespace caraway

#endif
