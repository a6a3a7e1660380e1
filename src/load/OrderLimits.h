// OrderLimits.h: limits shared by orders and reports.
#ifndef caraway_load_OrderLimits_h
#define caraway_load_OrderLimits_h

#include "caraway/Time.h"

namespace caraway {

// Attempts at one order of a job, requests for reports included; after them the
// placement is planned again. At the longest retry interval, 100 ms, they take
// six seconds. An unload waits for the model's streams, and all but the longest
// end within that time.
inline constexpr int kMaxOrderAttempts = 60;

// A server answers an order within milliseconds; without an answer within this
// time it is down or the answer is lost.
inline constexpr Millis kOrderTimeout{ 500 };

} // namespace caraway

#endif
