// ExchangeTimes.h: times that more than one part of an exchange goes by.
#ifndef caraway_entry_ExchangeTimes_h
#define caraway_entry_ExchangeTimes_h

#include "caraway/Time.h"

namespace caraway {

// A server needs this long from the request to the first event when it is
// free; what can't begin so long before the caller leaves is refused.
inline constexpr Millis kServiceTime{ 120 };

// What isn't expected to be there sooner is worth trying again after this.
inline constexpr Millis kRetryAfterDefault{ 500 };

// Other instances can take it at once.
inline constexpr Millis kRetryAfterElsewhere{ 20 };

// An answer of the server's own may come so late after a request's time.
inline constexpr Millis kLateAnswerMargin{ 40 };

} // namespace caraway

#endif
