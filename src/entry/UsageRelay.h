// UsageRelay.h: exchanges the numbers of requests in flight, the demand for
// models and servers' load reports between instances.
//
// Heartbeats carry them to all instances in turn, which takes seconds in a
// large fleet. The lease holder of a zone needs to know sooner which models are
// in use: an unload waits for the model's requests, and meanwhile the server
// accepts no other order. So each instance also sends each lease holder the
// counts for the servers of the holder's zone directly, and with them its
// demand.
#ifndef caraway_entry_UsageRelay_h
#define caraway_entry_UsageRelay_h

#include <set>
#include <string>

#include "entry/EntryState.h"
#include "entry/Peers.h"

namespace caraway {

class UsageRelay
{
public:
  UsageRelay(EntryState& aState, Peers& aPeers);

  void Start();
  void FillHeartbeat(Json::Value& aHeartbeat);
  void ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat);

private:
  void SendUsage();
  void SendUsageTo(const std::string& aZone,
                   const std::string& aHolder,
                   const DemandReport& aDemand);
  std::string ZoneOf(const std::string& aInstance) const;
  Json::Value UsageOf(const std::string& aZone) const;
  void OnUsage(const Json::Value& aMessage);

  EntryState& mState;
  Peers& mPeers;
  // Zones whose lease holder was last sent counts that were not empty.
  std::set<std::string> mReportedZones;
};

} // namespace caraway

#endif
