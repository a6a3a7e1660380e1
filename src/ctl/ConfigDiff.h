// ConfigDiff.h: the differences between two configurations.
#ifndef caraway_ctl_ConfigDiff_h
#define caraway_ctl_ConfigDiff_h

#include <json/json.h>
#include <string>

namespace caraway {

// Returns aInForce with the sections of aFile in place of its own.
Json::Value
ConfigMerge(const Json::Value& aInForce, const Json::Value& aFile);

// [{"change":"made|removed|changed","section":…,"name":…,"field":…,
//   "from":…,"to":…}]; a field that the new entry leaves out is unchanged.
Json::Value
ConfigDiff(const Json::Value& aFrom, const Json::Value& aTo);
std::string
ConfigDiffText(const Json::Value& aDiff);

} // namespace caraway

#endif
