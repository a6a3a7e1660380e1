// StoreGate.h: fleet-wide admission of loads to the weight store.
#ifndef caraway_own_StoreGate_h
#define caraway_own_StoreGate_h

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "caraway/Clock.h"
#include "decide/LoadGate.h"
#include "own/StoreGateSettings.h"
#include "peer/Members.h"
#include "peer/PeerClient.h"
#include "peer/PeerRpc.h"

namespace caraway {

// Every instance has a gate. Instances that reach each other agree on one
// owner, whose gate admits loads up to the part of the limit for the zones it
// reaches; so zones that are cut off from each other keep to the limit
// together. When the owner fails to answer twice, the instances of each zone
// ask the gate owner of their zone for the zone's part. While views of the
// members differ, two gates may admit more loads, which only slows the store
// down.
class StoreGate
{
public:
  StoreGate(StoreGateSettings aSettings,
            Members& aMembers,
            PeerClient& aPeers,
            const Clock& aClock);

  // Asks two gates in turn at most, 300 ms each. Without a reply the load waits
  // and has to poll again.
  LoadGateReply Acquire(const LoadGateRequest& aRequest);
  // Releases the permit, which would otherwise expire a lease later.
  void Release(const std::string& aId);

  // An adapter loads within some milliseconds, so a request to a gate isn't
  // worth it: each instance keeps to its part of the fleet's limit. False when
  // no permit became free by aUntil.
  bool AcquireAdapter(TimePoint aUntil);
  void ReleaseAdapter();

  const Clock& Time() const { return mClock; }
  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  // Nothing when aOwner doesn't reply.
  std::optional<LoadGateReply> QueryGate(const InstanceInfo& aOwner,
                                         const Json::Value& aRequest);
  LoadGateReply QueryZoneGate(const LoadGateRequest& aRequest);
  void ReleaseAt(const InstanceInfo& aOwner, const std::string& aId);
  // Uses this instance's gate, with the limit for aZones of the fleet's zones.
  LoadGateReply AdmitLocally(int aZones, const LoadGateRequest& aRequest);

  StoreGateSettings mSettings;
  Members& mMembers;
  PeerClient& mPeers;
  const Clock& mClock;
  std::mutex mLock;
  LoadGate mGate;
  std::set<std::string> mZoneRequests; // loads requested at the zone's owner
  std::mutex mAdapterLock;
  std::condition_variable mAdapterReleased;
  int mAdaptersInFlight = 0; // loads begun by this instance
};

} // namespace caraway

#endif
