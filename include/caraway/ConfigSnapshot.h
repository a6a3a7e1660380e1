// ConfigSnapshot.h: one complete configuration, immutable once built.
#ifndef caraway_ConfigSnapshot_h
#define caraway_ConfigSnapshot_h

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "caraway/EndpointSpec.h"
#include "caraway/ModelSpec.h"
#include "caraway/Profile.h"
#include "caraway/Tenant.h"
#include "caraway/TenantKey.h"

namespace caraway {

struct ConfigSnapshot
{
  int64_t mRevision = 0; // 0 = none yet; never decreases on an instance
  std::map<std::string, Profile> mProfiles;
  std::map<std::string, Tenant> mTenants;
  std::map<std::string, TenantKey> mKeys; // by id
  std::map<std::string, EndpointSpec> mEndpoints;
  std::map<std::string, ModelSpec> mModels;
  std::map<std::string, std::string> mKeyIdByDigest;
};

using ConfigPtr = std::shared_ptr<const ConfigSnapshot>;

} // namespace caraway

#endif
