// WatchStep.h: which instances of a zone read the list of servers from the
// store, and which are told by another.
//
// The load it answers: every watch returns with each server's heartbeat, so
// that what the store is asked grows with instances times servers. One of a
// zone reads, the first by rank that does so well, and tells the others what
// matters to them. Nobody is appointed: who hears nothing fresh reads by
// itself, tells so, and stops again when it hears somebody before it. So the
// worst is that all read, as if there were no telling.
#ifndef caraway_decide_WatchStep_h
#define caraway_decide_WatchStep_h

#include <string>

#include "caraway/Time.h"

namespace caraway {

// Those with more of a core come first, since the reader has the most to do;
// among equals one that leads its zone comes last, and else the name decides.
std::string
WatchRank(double aCpuShare, const std::string& aName, bool aLeads = false);

class WatchStep
{
public:
  // News older than this aren't relied on. A reader has news at least each
  // second. A leaving server may get requests for two seconds; what is left is
  // enough to notice and to read the list.
  static constexpr Millis kMaxUpdateAge{ 1300 };

  explicit WatchStep(std::string aRank);

  // aFrom, a rank, tells what it read from the store at aUpdateAt. True when
  // this instance goes by it. aOwnUpdateAt: its own news from the store, none
  // while it is told; they count for as long as others'.
  bool OnTold(const std::string& aFrom,
              TimePoint aUpdateAt,
              TimePoint aOwnUpdateAt,
              TimePoint aNow);
  // False: this instance reads the store.
  bool Follows(TimePoint aNow) const;
  const std::string& Leader() const { return mLeader; }
  // This instance's rank is another now.
  void SetSelf(const std::string& aRank) { mSelf = aRank; }
  void Forget() { mLeader.clear(); }

private:
  std::string mSelf;     // rank
  std::string mLeader;   // "" = none was ever followed
  TimePoint mUpdateAt{}; // of the leader
};

} // namespace caraway

#endif
