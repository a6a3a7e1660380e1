// HomeZones.h: the home zones of models, as this instance sees the fleet.
#ifndef caraway_own_HomeZones_h
#define caraway_own_HomeZones_h

#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "caraway/ConfigSnapshot.h"
#include "peer/Members.h"

namespace caraway {

class HomeZones
{
public:
  // aNear: zones a few milliseconds away, and our own.
  HomeZones(std::vector<std::string> aNearZones, Members& aMembers);

  // Among the near zones that have engines and an instance that answers. Our
  // own when there is none.
  std::string HomeOf(const std::string& aModel, const ConfigSnapshot& aConfig);
  bool IsOwnZone(const std::string& aZone) const;
  // Nobody answered a request that was sent there. It is nobody's home until
  // one of its instances is heard.
  void MarkSilent(const std::string& aZone);

private:
  bool HasEngines(const std::string& aZone, const ConfigSnapshot& aConfig);

  std::vector<std::string> mNearZones;
  Members& mMembers;
  std::mutex mLock;
  int64_t mRevision = -1;                  // that mWithEngines is of
  std::set<std::string> mZonesWithEngines; // zones
};

} // namespace caraway

#endif
