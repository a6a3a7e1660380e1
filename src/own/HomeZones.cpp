#include "own/HomeZones.h"

#include "decide/HomeZone.h"

namespace caraway {

HomeZones::HomeZones(std::vector<std::string> aNear, Members& aMembers)
  : mNear(std::move(aNear))
  , mMembers(aMembers)
{
}

bool
HomeZones::HasEngines(const std::string& aZone, const ConfigSnapshot& aConfig)
{
  std::lock_guard<std::mutex> lock(mLock);
  if (mRevision != aConfig.mRevision) {
    mWithEngines.clear();
    for (const auto& endpoint : aConfig.mEndpoints) {
      if (endpoint.second.mKind == EndpointKind::Engine) {
        mWithEngines.insert(endpoint.second.mZone);
      }
    }
    mRevision = aConfig.mRevision;
  }
  return mWithEngines.count(aZone) > 0;
}

std::string
HomeZones::Of(const std::string& aModel, const ConfigSnapshot& aConfig)
{
  std::set<std::string> answering = mMembers.RespondingZones();
  std::vector<std::string> zones;
  for (const std::string& zone : mNear) {
    if (answering.count(zone) && HasEngines(zone, aConfig)) {
      zones.push_back(zone);
    }
  }
  return zones.empty() ? mMembers.Self().mZone : HomeZoneOf(zones, aModel);
}

bool
HomeZones::IsOurs(const std::string& aZone) const
{
  return aZone == mMembers.Self().mZone;
}

void
HomeZones::Silent(const std::string& aZone)
{
  mMembers.SuspectZone(aZone);
}

} // namespace caraway
