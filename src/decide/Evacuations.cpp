#include "decide/Evacuations.h"

namespace caraway {

Evacuations::Change
Evacuations::Apply(const std::set<std::string>& aZones,
                   int64_t aAsOf,
                   TimePoint aNow)
{
  Change change;
  if (aAsOf <= mAsOf) {
    return change;
  }
  mAsOf = aAsOf;
  for (const std::string& zone : mZones) {
    if (!aZones.count(zone)) {
      change.mLifted.push_back(zone);
      mOrigins.erase(zone);
    }
  }
  for (const std::string& zone : aZones) {
    if (mOrigins.try_emplace(zone, Origin{ aAsOf, aNow }).second) {
      change.mEvacuated.push_back(zone);
    }
  }
  mZones = aZones;
  return change;
}

} // namespace caraway
