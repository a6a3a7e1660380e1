// PlaceFinder.h: a place at an engine, from whichever instance gives it.
#ifndef caraway_serve_PlaceFinder_h
#define caraway_serve_PlaceFinder_h

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

class PlaceFinder
{
public:
  PlaceFinder(ModelOwner& aOwner,
              Members& aMembers,
              PeerClient& aPeers,
              Authenticator& aKeys,
              Metrics& aMetrics);

  // Blocks until there is a place or a refusal. aRequest is asked again where a
  // try has taken time; aOwner: to whom the place is to be returned.
  Result<PlaceGrant> Acquire(const std::function<PlaceRequest()>& aRequest,
                             const Caller& aCaller,
                             InstanceInfo& aOwner);
  void Return(const InstanceInfo& aOwner, const PlaceReturn& aReturn);

  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  Result<PlaceGrant> AcquireNear(const PlaceRequest& aRequest,
                                 const Caller& aCaller,
                                 InstanceInfo& aOwner);
  // nullopt: the zone doesn't answer (aSilent) or can't serve it.
  std::optional<Result<PlaceGrant>> AcquireAway(PlaceRequest aRequest,
                                                const std::string& aZone,
                                                const Caller& aCaller,
                                                InstanceInfo& aOwner,
                                                bool& aSilent);
  // nullopt: nobody there answers.
  std::optional<Result<PlaceGrant>> AskZone(const PlaceRequest& aRequest,
                                            const std::string& aZone,
                                            const Caller& aCaller,
                                            InstanceInfo& aOwner);
  Result<void> StillValid(const Caller& aCaller) const;
  // nullopt: that owner doesn't answer.
  std::optional<Result<PlaceGrant>> AcquireFrom(const PlaceRequest& aRequest,
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
