// Clock.h: the one source of time. Tests pause and advance it.
#ifndef caraway_Clock_h
#define caraway_Clock_h

#include "caraway/Time.h"

namespace caraway {

// The runtime's clock. Everything outside src/decide asks this object;
// src/decide is handed the time and never asks.
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
