// ConfigCodec.h: configuration to and from JSON, with validation.
#ifndef caraway_base_ConfigCodec_h
#define caraway_base_ConfigCodec_h

#include <json/json.h>

#include "caraway/ConfigSnapshot.h"
#include "caraway/Result.h"

namespace caraway {

// Each rejects unknown fields and wrong types with ConfigInvalid and the
// field's path, e.g. "profiles.noon-notice.class".
Result<Profile>
ProfileParse(const Json::Value& aJson);
Result<Tenant>
TenantParse(const Json::Value& aJson);
Result<TenantKey>
TenantKeyParse(const Json::Value& aJson);
Result<EndpointSpec>
EndpointSpecParse(const Json::Value& aJson);
Result<ModelSpec>
ModelSpecParse(const Json::Value& aJson);

Json::Value
ProfileJson(const Profile& aProfile);
Json::Value
TenantJson(const Tenant& aTenant);
Json::Value
TenantKeyJson(const TenantKey& aKey);
Json::Value
EndpointSpecJson(const EndpointSpec& aEndpoint);
Json::Value
ModelSpecJson(const ModelSpec& aModel);

// {"profiles":[...],"tenants":[...],"keys":[...],"endpoints":[...],
//  "models":[...]}; sections may be absent. Checks references too.
Result<ConfigSnapshot>
ConfigParse(const Json::Value& aJson);
Json::Value
ConfigJson(const ConfigSnapshot& aConfig);

// Checks that references resolve and that each model fits an engine's memory.
Result<void>
ConfigCheck(const ConfigSnapshot& aConfig);

} // namespace caraway

#endif
