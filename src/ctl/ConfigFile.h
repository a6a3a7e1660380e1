// ConfigFile.h: profiles and the rest, as operators write them.
#ifndef caraway_ctl_ConfigFile_h
#define caraway_ctl_ConfigFile_h

#include <json/json.h>
#include <string>
#include <toml++/toml.h>

#include "caraway/Result.h"

namespace caraway {

// A TOML file with tables [profiles.NAME], [tenants.NAME], [endpoints.NAME]
// and [models.NAME]. Sections that it doesn't name stay as they are when it
// is applied. Keys never stand in files.
class ConfigFile
{
public:
  // ConfigInvalid with file and line when it can't be read.
  static Result<ConfigFile> Read(const std::string& aName);

  // Sections as the administration API takes them.
  const Json::Value& Sections() const { return mSections; }
  // "FILE:LINE: " of what a refusal names ("profiles.noon.class: …").
  std::string LocationOf(const std::string& aDetail) const;

private:
  std::string mName;
  toml::table mRoot;
  Json::Value mSections{ Json::objectValue };
};

} // namespace caraway

#endif
