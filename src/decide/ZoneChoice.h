// ZoneChoice.h: which zone is asked for a model or adapter that is missing.
//
// The load it answers: each model's copies lie on the disks of three or four
// servers in different zones, a dozen loads a second keep some servers busy for
// a second or more, and others idle. Asked for where its copy's server takes
// orders soonest, a rare model waits less.
#ifndef caraway_decide_ZoneChoice_h
#define caraway_decide_ZoneChoice_h

#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct ZoneOffer
{
  std::string mZone;
  int mServers = 0;     // that could hold it
  int mQueued = 0;      // wants that wait there already
  Millis mReadyIn{ 0 }; // until its best server has it, without those
};

// "" when there is no offer. aOwnZone: this instance's zone.
std::string
ChooseZone(const std::vector<ZoneOffer>& aOffers, const std::string& aOwnZone);

} // namespace caraway

#endif
