// ConfigStore.h: configurations stored at the platform.
#ifndef caraway_platform_ConfigStore_h
#define caraway_platform_ConfigStore_h

#include <map>
#include <mutex>
#include <string>

#include "caraway/ConfigSnapshot.h"
#include "platform/ConfigIndex.h"
#include "platform/PlatformApi.h"

namespace caraway {

// Splits a configuration into parts by section and name. Parts and the manifest
// that lists them are named by their digest and never change; the index names
// the manifest and is replaced by conditional update. A revision is therefore
// read completely or not at all, one watch suffices, and a change transfers
// only the parts that it modified.
class ConfigStore
{
public:
  explicit ConfigStore(PlatformApi& aPlatform);

  Result<ConfigIndex> Index();
  // Waits up to aWithin; NotFound if there was no newer version.
  Result<ConfigIndex> WatchIndex(int64_t aAfterVersion, Millis aWithin);
  Result<ConfigSnapshot> Load(const ConfigRevision& aRevision);

  // RevisionConflict if aExpected is no longer in force. PlatformUnavailable if
  // it is unknown whether the change was accepted.
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
  // Parts of the last revision loaded, by digest.
  std::map<std::string, Json::Value> mParts;
};

} // namespace caraway

#endif
