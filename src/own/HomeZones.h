// HomeZones.h: home zones of models, from this instance's view of the fleet.
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
  // aNearZones: zones a few milliseconds away, including this one.
  HomeZones(std::vector<std::string> aNearZones, Members& aMembers);

  // Chosen among the near zones that have engines and an instance that answers.
  // This instance's zone when there is none.
  std::string HomeOf(const std::string& aModel, const ConfigSnapshot& aConfig);
  bool IsOwnZone(const std::string& aZone) const;
  // A request sent to aZone got no answer. It is not chosen again until one of
  // its instances is heard from.
  void MarkSilent(const std::string& aZone);

private:
  bool HasEngines(const std::string& aZone, const ConfigSnapshot& aConfig);

  std::vector<std::string> mNearZones;
  Members& mMembers;
  std::mutex mLock;
  int64_t mRevision = -1;                  // of mZonesWithEngines
  std::set<std::string> mZonesWithEngines; // by name
};

} // namespace caraway

#endif
