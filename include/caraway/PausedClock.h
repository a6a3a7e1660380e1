// PausedClock.h: clock for tests that only moves when advanced.
#ifndef caraway_PausedClock_h
#define caraway_PausedClock_h

#include <atomic>

#include "caraway/Clock.h"

namespace caraway {

class PausedClock : public Clock
{
public:
  TimePoint Now() const override { return TimePoint(Micros(mMicros.load())); }
  WallTime WallNow() const override { return WallTime(Micros(mMicros.load())); }
  void Advance(Micros aBy) { mMicros += aBy.count(); }

private:
  // Starts at one hour, since a zero time point means "never" in several
  // records.
  std::atomic<int64_t> mMicros{ 3'600'000'000 };
};

} // namespace caraway

#endif
