// BootClock.h: monotonic time that goes on while the machine is suspended.
#ifndef caraway_BootClock_h
#define caraway_BootClock_h

#include "caraway/Clock.h"

namespace caraway {

// The steady clock stands still during a suspend: a holder that wakes up
// would take its lease for fresh and act beside its successor. This clock
// counts that time, so that every lease, deadline and age is judged right on
// the first look after waking.
class BootClock : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace caraway

#endif
