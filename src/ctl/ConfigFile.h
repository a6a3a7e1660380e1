// ConfigFile.h: a configuration file as operators write it.
#ifndef caraway_ctl_ConfigFile_h
#define caraway_ctl_ConfigFile_h

#include <json/json.h>
#include <string>
#include <toml++/toml.h>

#include "caraway/Result.h"

namespace caraway {

// A TOML file with tables [profiles.NAME], [tenants.NAME], [endpoints.NAME] and
// [models.NAME]. Applying it leaves sections that it doesn't contain unchanged.
// Keys are never stored in files.
class ConfigFile
{
public:
  // ConfigInvalid with file and line if it can't be parsed.
  static Result<ConfigFile> Read(const std::string& aName);

  // Sections as the administration API expects them.
  const Json::Value& Sections() const { return mSections; }
  // "FILE:LINE: " of the entry that an error names ("profiles.noon.class: …").
  std::string LocationOf(const std::string& aDetail) const;

private:
  std::string mName;
  toml::table mRoot;
  Json::Value mSections{ Json::objectValue };
};

} // namespace caraway

#endif
