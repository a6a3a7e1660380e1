// Clock.h: the only source of time; tests replace it by PausedClock.
#ifndef caraway_Clock_h
#define caraway_Clock_h

#include "caraway/Time.h"

namespace caraway {

// Code outside src/decide reads the time from this object. Functions in
// src/decide get the time as an argument and never read a clock.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

class SystemClock : public Clock
{
public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace caraway

#endif
