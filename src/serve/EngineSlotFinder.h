// EngineSlotFinder.h: acquires an engine slot from the instance that owns the
// model.
#ifndef caraway_serve_EngineSlotFinder_h
#define caraway_serve_EngineSlotFinder_h

#include <functional>
#include <optional>
#include <string>

#include "base/Metrics.h"
#include "own/ModelOwner.h"
#include "peer/Members.h"
#include "peer/PeerClient.h"
#include "peer/PeerRpc.h"
#include "serve/Authenticator.h"

namespace caraway {

class EngineSlotFinder
{
public:
  EngineSlotFinder(ModelOwner& aOwner,
                   Members& aMembers,
                   PeerClient& aPeers,
                   Authenticator& aKeys,
                   Metrics& aMetrics);

  // Blocks until a slot is granted or refused. aRequest builds the request and
  // is called again before a second attempt, since less time is left then.
  // aOwner receives the instance to which the slot must be released.
  Result<EngineSlotGrant> Acquire(
    const std::function<EngineSlotRequest()>& aRequest,
    const Caller& aCaller,
    InstanceInfo& aOwner);
  void ReleaseSlot(const InstanceInfo& aOwner,
                   const EngineSlotRelease& aRelease);

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  Result<EngineSlotGrant> AcquireInZone(const EngineSlotRequest& aRequest,
                                        const Caller& aCaller,
                                        InstanceInfo& aOwner);
  // nullopt if the zone doesn't answer (aSilent) or can't serve the request.
  std::optional<Result<EngineSlotGrant>> AcquireInHomeZone(
    EngineSlotRequest aRequest,
    const std::string& aZone,
    const Caller& aCaller,
    InstanceInfo& aOwner,
    bool& aSilent);
  // nullopt if no owner in the zone answers.
  std::optional<Result<EngineSlotGrant>> AcquireFromZoneOwners(
    const EngineSlotRequest& aRequest,
    const std::string& aZone,
    const Caller& aCaller,
    InstanceInfo& aOwner);
  Result<void> CheckKey(const Caller& aCaller) const;
  // nullopt if the owner doesn't answer.
  std::optional<Result<EngineSlotGrant>> AcquireFrom(
    const EngineSlotRequest& aRequest,
    const Caller& aCaller,
    const InstanceInfo& aOwner);

  ModelOwner& mOwner;
  Members& mMembers;
  PeerClient& mPeers;
  Authenticator& mKeys;
  Metrics& mMetrics;
};

} // namespace caraway

#endif
