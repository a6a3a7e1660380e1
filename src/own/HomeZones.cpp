#include "own/HomeZones.h"

#include "decide/HomeZone.h"

namespace caraway {

HomeZones::HomeZones(std::vector<std::string> aNearZones, Members& aMembers)
  : mNearZones(std::move(aNearZones))
  , mMembers(aMembers)
{
}

bool
HomeZones::HasEngines(const std::string& aZone, const ConfigSnapshot& aConfig)
{
  std::lock_guard<std::mutex> lock(mLock);
  if (mRevision != aConfig.mRevision) {
    mZonesWithEngines.clear();
    for (const auto& endpoint : aConfig.mEndpoints) {
      if (endpoint.second.mKind == EndpointKind::Engine) {
        mZonesWithEngines.insert(endpoint.second.mZone);
      }
    }
    mRevision = aConfig.mRevision;
  }
  return mZonesWithEngines.count(aZone) > 0;
}

std::string
HomeZones::HomeOf(const std::string& aModel, const ConfigSnapshot& aConfig)
{
  std::set<std::string> responding = mMembers.RespondingZones();
  std::vector<std::string> zones;
  for (const std::string& zone : mNearZones) {
    if (responding.count(zone) && HasEngines(zone, aConfig)) {
      zones.push_back(zone);
    }
  }
  return zones.empty() ? mMembers.Self().mZone : HomeZoneOf(zones, aModel);
}

bool
HomeZones::IsOwnZone(const std::string& aZone) const
{
  return aZone == mMembers.Self().mZone;
}

void
HomeZones::MarkSilent(const std::string& aZone)
{
  mMembers.SuspectZone(aZone);
}

} // namespace caraway
