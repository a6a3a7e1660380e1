// PlacementStore.h: placement records stored at the platform.
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
  TimePoint mAsOf{};    // start of the call that returned it
};

// Objects are named zone.endpoint, so that one list call returns a zone.
class PlacementStore
{
public:
  PlacementStore(PlatformApi& aPlatform, const Clock& aClock);

  // The stored record, or an empty one made from the endpoint's settings.
  Result<StoredPlacement> Read(const EndpointSpec& aEndpoint);
  // Records of aEndpoints, all of one zone.
  Result<std::vector<StoredPlacement>> ReadZone(
    const std::vector<EndpointSpec>& aEndpoints);

  // Replaces aStored with aNext by conditional update. After Done and Conflict
  // aStored is the current record.
  WriteOutcome Replace(const EndpointSpec& aEndpoint,
                       StoredPlacement& aStored,
                       const PlacementRecord& aNext);

  // Applies aChange (false: nothing to change) to aStored and stores the
  // result, retrying on conflicts. True when the change is in force.
  bool Change(const EndpointSpec& aEndpoint,
              StoredPlacement& aStored,
              const std::function<bool(PlacementRecord&)>& aChange);

private:
  PlatformApi& mPlatform;
  const Clock& mClock;
};

} // namespace caraway

#endif
