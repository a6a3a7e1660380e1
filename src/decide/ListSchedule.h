// ListSchedule.h: when an instance reads the store's list of instances.
//
// The load that it is designed for: hundreds of instances that start together
// and stay for long. Each reads the list for itself, so the time between two
// reads grows with the fleet, and the number of reads of all together does not.
#ifndef caraway_decide_ListSchedule_h
#define caraway_decide_ListSchedule_h

#include "caraway/Time.h"

namespace caraway {

class ListSchedule
{
public:
  // Time from the end of a read, or from the start, to the next read. aNeeded:
  // the instance depends on a fresh list, see ZoneMembers::NeedsStore().
  Millis Wait(bool aNeeded) const;
  // Longest time between two reads.
  static Millis LongestWait(int aInstances);
  // A read ended. aInstances: those known, this one included.
  void OnRead(bool aGood, int aInstances);

private:
  // The first reads follow each other sooner: of the instances that start
  // together, one may miss others whose messages to it are lost.
  static constexpr Millis kMinInterval{ 300 };
  static constexpr Millis kMaxInterval{ 10000 };
  static constexpr Millis kIntervalPerInstance{ 100 };
  static constexpr Millis kNeededInterval{ 1000 };
  static constexpr Millis kRetryInterval{ 300 };

  Millis mInterval = kMinInterval;
};

} // namespace caraway

#endif
