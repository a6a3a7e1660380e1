// EngineSlotFinder.h: a place at an engine, from whichever instance gives it.
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

  // Blocks until there is a place or a refusal. aRequest is asked again where a
  // try has taken time; aOwner: to whom the place is to be returned.
  Result<EngineSlotGrant> Acquire(
    const std::function<EngineSlotRequest()>& aRequest,
    const Caller& aCaller,
    InstanceInfo& aOwner);
  void ReleaseSlot(const InstanceInfo& aOwner,
                   const EngineSlotRelease& aReturn);

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  Result<EngineSlotGrant> AcquireInZone(const EngineSlotRequest& aRequest,
                                        const Caller& aCaller,
                                        InstanceInfo& aOwner);
  // nullopt: the zone doesn't answer (aSilent) or can't serve it.
  std::optional<Result<EngineSlotGrant>> AcquireInHomeZone(
    EngineSlotRequest aRequest,
    const std::string& aZone,
    const Caller& aCaller,
    InstanceInfo& aOwner,
    bool& aSilent);
  // nullopt: nobody there answers.
  std::optional<Result<EngineSlotGrant>> AskZone(
    const EngineSlotRequest& aRequest,
    const std::string& aZone,
    const Caller& aCaller,
    InstanceInfo& aOwner);
  Result<void> CheckKey(const Caller& aCaller) const;
  // nullopt: that owner doesn't answer.
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
