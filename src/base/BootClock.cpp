#include "caraway/BootClock.h"

#include <ctime>

namespace caraway {

TimePoint
BootClock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace caraway
