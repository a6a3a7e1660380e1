// WatchStep.h: which instances of a zone read the list of servers from the
// store, and which follow another instance.
//
// The load that it is designed for: every watch returns with each server's
// heartbeat, so the number of calls to the store grows with instances times
// servers. One instance of a zone reads, the first by rank that does so
// reliably, and sends the others the changes that matter to them. There is no
// election: an instance that receives nothing fresh reads for itself, publishes
// what it reads, and stops when it hears from a reader that ranks before it. In
// the worst case all instances read, as if there were no sharing.
#ifndef caraway_decide_WatchStep_h
#define caraway_decide_WatchStep_h

#include <string>

#include "caraway/Time.h"

namespace caraway {

// Smaller ranks come first. A larger CPU share gives a smaller rank, since the
// reader has the most to do. Among equals an instance that leads its zone comes
// last, and otherwise the name decides.
std::string
WatchRank(double aCpuShare, const std::string& aName, bool aLeads = false);

class WatchStep
{
public:
  // Older updates aren't relied on. A reader has an update at least every
  // second. A server that is leaving may receive requests for two seconds; the
  // difference is enough to detect the loss of the reader and read the list.
  static constexpr Millis kMaxUpdateAge{ 1300 };

  explicit WatchStep(std::string aRank);

  // aFrom, a rank, sends what it read from the store at aUpdateAt. Returns true
  // if this instance now follows it. aOwnUpdateAt: time of this instance's own
  // last read, zero while it follows another. kMaxUpdateAge applies to own
  // reads as well.
  bool OnUpdate(const std::string& aFrom,
                TimePoint aUpdateAt,
                TimePoint aOwnUpdateAt,
                TimePoint aNow);
  // If false, this instance reads the store itself.
  bool Follows(TimePoint aNow) const;
  const std::string& Followed() const { return mFollowed; }
  // Changes this instance's rank.
  void SetRank(const std::string& aRank) { mRank = aRank; }
  void Forget() { mFollowed.clear(); }

private:
  std::string mRank;
  std::string mFollowed; // rank of the reader that it follows; "" = none yet
  TimePoint mUpdateAt{}; // last update of mFollowed
};

} // namespace caraway

#endif
