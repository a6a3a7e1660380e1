// OrderLimits.h: limits shared by orders and reports.
#ifndef caraway_entry_OrderLimits_h
#define caraway_entry_OrderLimits_h

#include "caraway/Time.h"

namespace caraway {

// Attempts at one step of a job, reports included; then its placement is
// planned again. At the longest retry interval they take six seconds: all but
// the longest streams end within that time, and an unload waits for them.
inline constexpr int kMaxOrderAttempts = 60;

// A server answers an order within milliseconds; without an answer within this
// time it is down or the answer is lost.
inline constexpr Millis kOrderTimeout{ 500 };

} // namespace caraway

#endif
