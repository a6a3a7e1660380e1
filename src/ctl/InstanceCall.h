// InstanceCall.h: a call to an instance of carawayd-entry, as other instances
// make it.
#ifndef caraway_ctl_InstanceCall_h
#define caraway_ctl_InstanceCall_h

#include <json/json.h>
#include <string>

#include "caraway/Result.h"

namespace caraway {

// NoEndpoint if the instance can't be reached or doesn't answer as one.
Result<Json::Value>
CallInstance(const std::string& aAddress,
             const char* aMethod,
             const Json::Value& aParams);

} // namespace caraway

#endif
