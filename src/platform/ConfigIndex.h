// ConfigIndex.h: the object that names the configuration in force.
#ifndef caraway_platform_ConfigIndex_h
#define caraway_platform_ConfigIndex_h

#include <json/json.h>
#include <string>
#include <vector>

namespace caraway {

struct ConfigRevision
{
  int64_t mRevision = 0;
  std::string mManifest; // digest of the list of parts
  std::string mAuthor;
  std::string mNote;
  std::string mAt; // calendar time, for display
};

struct ConfigIndex
{
  int64_t mVersion = 0; // object version, for the conditional update
  std::string mWriteId;
  ConfigRevision mNow;
  std::vector<ConfigRevision> mHistory; // newest first, without mNow
};

ConfigIndex
ConfigIndexParse(const Json::Value& aJson);
Json::Value
ConfigIndexJson(const ConfigIndex& aIndex);
Json::Value
ConfigRevisionJson(const ConfigRevision& aRevision);

} // namespace caraway

#endif
