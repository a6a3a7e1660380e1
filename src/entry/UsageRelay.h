// UsageRelay.h: what is under way at servers and asked for, told among
// instances.
//
// Pulses carry both to all instances in turn, which in a large fleet takes
// seconds. Whoever orders a zone's servers must know sooner which models are in
// use: an unload waits for the model's requests, and the server takes no other
// order meanwhile. So each instance tells it directly, of its servers only.
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
  void Tell();
  void SendUsageTo(const std::string& aZone, const std::string& aHolder);
  Json::Value UsageOf(const std::string& aZone) const;
  void OnTold(const Json::Value& aNote);

  EntryState& mState;
  Peers& mPeers;
  std::set<std::string> mTold; // zones whose holder was last told of some use
};

} // namespace caraway

#endif
