// WorkPacer.h: keeps work that is repeated on each change to a share of an
// instance's time.
//
// The load that it is designed for: each pass over a long queue takes a large
// part of what the instance's share of a core does in a second, and each
// request that comes meanwhile makes another pass due. Without a limit, the
// passes take all of the event loop's time, and what the instance knows of the
// fleet grows old unread.
#ifndef caraway_decide_WorkPacer_h
#define caraway_decide_WorkPacer_h

#include "caraway/Time.h"

namespace caraway {

class WorkPacer
{
public:
  // Longest time between two passes. A pass in which the process stood still
  // looks long and says nothing of the next one.
  static constexpr Millis kMaxPause{ 1000 };

  // A pass takes at most one aParts-th of the time until the next one begins.
  explicit WorkPacer(int aParts)
    : mParts(aParts)
  {
  }

  bool MayBegin(TimePoint aNow) const { return aNow >= mNextAt; }
  void OnPass(TimePoint aBegan, TimePoint aEnded);

private:
  int mParts;
  TimePoint mNextAt{};
};

} // namespace caraway

#endif
