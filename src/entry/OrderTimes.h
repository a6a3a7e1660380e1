// OrderTimes.h: limits that orders and reports share.
#ifndef caraway_entry_OrderTimes_h
#define caraway_entry_OrderTimes_h

#include "caraway/Time.h"

namespace caraway {

// A server answers an order within milliseconds; one that doesn't within this
// is down, or its answer is lost.
// Of one step of a job, reports included; then it is planned anew.
inline constexpr int kMostTries = 60;

inline constexpr Millis kOrderTime{ 500 };

} // namespace caraway

#endif
