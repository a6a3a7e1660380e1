// OrderLimits.h: limits that orders and reports share.
#ifndef caraway_entry_OrderLimits_h
#define caraway_entry_OrderLimits_h

#include "caraway/Time.h"

namespace caraway {

// Of one step of a job, reports included; then it is planned anew. Six seconds
// of asking: longer than all but the longest streams hold up an unload.
inline constexpr int kMaxOrderAttempts = 60;

// A server answers an order within milliseconds; one that doesn't within this
// is down, or its answer is lost.
inline constexpr Millis kOrderTime{ 500 };

} // namespace caraway

#endif
