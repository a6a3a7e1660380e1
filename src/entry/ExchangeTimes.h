// ExchangeTimes.h: times that more than one part of an exchange goes by.
#ifndef caraway_entry_ExchangeTimes_h
#define caraway_entry_ExchangeTimes_h

#include "caraway/Time.h"

namespace caraway {

// A server needs this long from the request to the first event when it is
// free; what can't begin so long before the caller leaves is refused.
inline constexpr Millis kServiceTime{ 120 };

// What isn't expected to be there sooner is worth trying again after this.
inline constexpr Millis kComeBack{ 500 };

} // namespace caraway

#endif
