// BootClock.h: monotonic clock that keeps counting while the machine is
// suspended.
#ifndef caraway_BootClock_h
#define caraway_BootClock_h

#include "caraway/Clock.h"

namespace caraway {

// The steady clock stops during a suspend: after a resume, a lease holder would
// take its lease for valid and act beside its successor. This clock counts the
// suspended time, so that leases, deadlines and ages are correct at the first
// check after a resume.
class BootClock : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace caraway

#endif
