// ConfigStore.h: configurations kept at the platform.
#ifndef caraway_platform_ConfigStore_h
#define caraway_platform_ConfigStore_h

#include <map>
#include <mutex>
#include <string>

#include "caraway/ConfigSnapshot.h"
#include "platform/ConfigIndex.h"
#include "platform/PlatformApi.h"

namespace caraway {

// A configuration is cut into parts by section and name. Parts and the
// manifest that lists them are named by their digest and never change; the
// index names the manifest and is replaced by conditional update. So a
// revision is taken whole or not at all, one watch suffices, and a change
// moves only the parts it touched.
class ConfigStore
{
public:
  explicit ConfigStore(PlatformApi& aPlatform);

  Result<ConfigIndex> Index();
  // Waits; NotFound when nothing newer came within aWithin.
  Result<ConfigIndex> WatchIndex(int64_t aAfterVersion, Millis aWithin);
  Result<ConfigSnapshot> Load(const ConfigRevision& aRevision);

  // RevisionConflict when aExpected isn't in force any more.
  // PlatformUnavailable when it can't be told whether it was accepted.
  Result<ConfigRevision> Commit(int64_t aExpected,
                                const ConfigSnapshot& aConfig,
                                const std::string& aAuthor,
                                const std::string& aNote,
                                const std::string& aAt);

private:
  Result<Json::Value> Part(const std::string& aDigest);
  Result<std::string> StorePart(const Json::Value& aPart);

  PlatformApi& mPlatform;
  std::mutex mLock;
  std::map<std::string, Json::Value> mParts; // those of the last revision
};

} // namespace caraway

#endif
