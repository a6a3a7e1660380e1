// Time.h: time types used by all interfaces.
#ifndef caraway_Time_h
#define caraway_Time_h

#include <chrono>

namespace caraway {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

// Monotonic time, for leases, deadlines and token buckets. It advances while a
// process is stopped, so that a resumed holder sees how long it was paused.
using TimePoint = std::chrono::steady_clock::time_point;

// Calendar time, for log output and for records stored on the platform.
// Decisions never compare it between instances.
using WallTime = std::chrono::system_clock::time_point;

} // namespace caraway

#endif
