// ZoneChoice.h: chooses the zone that loads a missing model or adapter.
//
// The load that it is designed for: the copies of each model are on the disks
// of three or four servers in different zones, and a dozen loads per second
// keep some servers busy for a second or more while others idle. Asking the
// zone where a server with a copy accepts orders soonest shortens the wait for
// a rare model.
#ifndef caraway_decide_ZoneChoice_h
#define caraway_decide_ZoneChoice_h

#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct ZoneOffer
{
  std::string mZone;
  int mServers = 0;     // that could hold the model
  int mQueued = 0;      // loads already waiting there
  Millis mReadyIn{ 0 }; // until its best server holds it, without the queue
};

// Returns "" if there is no offer. aOwnZone: this instance's zone.
std::string
ChooseZone(const std::vector<ZoneOffer>& aOffers, const std::string& aOwnZone);

} // namespace caraway

#endif
