// PlacementStore.h: placement records at the platform.
#ifndef caraway_own_PlacementStore_h
#define caraway_own_PlacementStore_h

#include <functional>
#include <string>
#include <vector>

#include "caraway/Clock.h"
#include "caraway/EndpointSpec.h"
#include "decide/PlacementRecord.h"
#include "platform/PlatformApi.h"

namespace caraway {

struct StoredPlacement
{
  PlacementRecord mRecord;
  int64_t mVersion = 0; // 0 = not stored yet
  TimePoint mAsOf{};    // when the call that showed it was begun
};

// Object names are zone.endpoint, so that one list call gives a zone.
class PlacementStore
{
public:
  PlacementStore(PlatformApi& aPlatform, const Clock& aClock);

  // The stored record, or an empty one made from the endpoint's settings.
  Result<StoredPlacement> Read(const EndpointSpec& aEndpoint);
  // Records of all of aEndpoints, which are of one zone.
  Result<std::vector<StoredPlacement>> ReadZone(
    const std::vector<EndpointSpec>& aEndpoints);

  // Stores aNext in place of what aStored holds. On Done and on Conflict
  // aStored is what stands now.
  WriteOutcome Replace(const EndpointSpec& aEndpoint,
                       StoredPlacement& aStored,
                       const PlacementRecord& aNext);

  // Reads, changes by aChange (false: nothing to change) and stores, again
  // while others change it too. True when the change is in force.
  bool Change(const EndpointSpec& aEndpoint,
              StoredPlacement& aStored,
              const std::function<bool(PlacementRecord&)>& aChange);

private:
  PlatformApi& mPlatform;
  const Clock& mClock;
};

} // namespace caraway

#endif
