// FleetClock.h: clock of a test fleet: the machine's, or one that moves only by
// steps.
#ifndef caraway_tests_FleetClock_h
#define caraway_tests_FleetClock_h

#include "caraway/BootClock.h"
#include "caraway/PausedClock.h"

namespace caraway {

class FleetClock : public Clock
{
public:
  // Time moves by aStep with each Step() only; zero = by itself.
  explicit FleetClock(Millis aStep)
    : mStep(aStep)
  {
  }

  void Step() { mStepped.Advance(mStep); }

  TimePoint Now() const override { return Current().Now(); }
  WallTime WallNow() const override { return Current().WallNow(); }

private:
  const Clock& Current() const
  {
    return mStep > Millis(0) ? static_cast<const Clock&>(mStepped) : mReal;
  }

  BootClock mReal;
  PausedClock mStepped;
  Millis mStep;
};

} // namespace caraway

#endif
