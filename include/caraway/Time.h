// Time.h: the types every signature that holds a time uses.
#ifndef caraway_Time_h
#define caraway_Time_h

#include <chrono>

namespace caraway {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

// Monotonic: leases, deadlines and buckets. Goes on while a process is
// stopped, so that a thawed holder sees how long it was away.
using TimePoint = std::chrono::steady_clock::time_point;

// Calendar time: only for what people read and for records kept at the
// platform. Never compared between instances to decide anything.
using WallTime = std::chrono::system_clock::time_point;

} // namespace caraway

#endif
