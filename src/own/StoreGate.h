// StoreGate.h: the fleet's loads take turns at the weight store.
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

// Every instance has a gate; the one that all who reach each other agree on is
// asked, and keeps to the part of the zones it reaches. So zones that are cut
// off from each other keep to the limit together. Where it doesn't answer
// twice, each zone's instances ask one of theirs for the zone's part. While
// views of the members differ, two gates may let in more; the store is slower
// then, and nothing else happens.
class StoreGate
{
public:
  StoreGate(StoreGateSettings aSettings,
            Members& aMembers,
            PeerClient& aPeers,
            const Clock& aClock);

  // Asks two gates in turn at most, 300 ms each. Not answered, the load waits
  // and is to ask again.
  LoadGateReply Acquire(const LoadGateRequest& aRequest);
  // Unsaid, the place would be free a lease later.
  void Release(const std::string& aId);

  // An adapter takes some milliseconds to arrive, less than a question to a
  // gate is worth: each instance keeps to its part of the fleet's limit. False
  // when no place came free by aUntil.
  bool AcquireAdapter(TimePoint aUntil);
  void ReleaseAdapter();

  const Clock& Time() const { return mClock; }
  void AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd);

private:
  // Nothing when aOwner doesn't answer.
  std::optional<LoadGateReply> QueryGate(const InstanceInfo& aOwner,
                                         const Json::Value& aRequest);
  LoadGateReply QueryZoneGate(const LoadGateRequest& aRequest);
  void ReleaseAt(const InstanceInfo& aOwner, const std::string& aId);
  // From our own gate, for so many of the fleet's zones.
  LoadGateReply AdmitLocally(int aZones, const LoadGateRequest& aRequest);

  StoreGateSettings mSettings;
  Members& mMembers;
  PeerClient& mPeers;
  const Clock& mClock;
  std::mutex mLock;
  LoadGate mGate;
  std::set<std::string> mZoneRequests; // ids of loads that asked their zone's
  std::mutex mAdapterLock;
  std::condition_variable mAdapterReleased;
  int mAdaptersInFlight = 0; // in flight from here
};

} // namespace caraway

#endif
