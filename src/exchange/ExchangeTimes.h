// ExchangeTimes.h: times shared by the source files of Exchange.
#ifndef caraway_exchange_ExchangeTimes_h
#define caraway_exchange_ExchangeTimes_h

#include "caraway/Time.h"

namespace caraway {

// Time that an idle server needs from the request to the first event. A request
// that can't be started this long before its caller gives up is refused.
inline constexpr Millis kServiceTime{ 120 };

// Retry-after time when there is no better estimate.
inline constexpr Millis kRetryAfterDefault{ 500 };

// Retry-after time when another instance can take the request at once.
inline constexpr Millis kRetryAfterElsewhere{ 20 };

// Retry-after time of a request for which the operators left no server.
inline constexpr Millis kRetryAfterZonesExcluded{ 5000 };

// Within this time the end of a connection follows the last bytes on it, when
// its process has ended before they are read: both have arrived by then.
inline constexpr Millis kFormerEndTime{ 10 };

// Events are held back for an entry of the store this long at most: it answers
// within milliseconds, if at all.
inline constexpr Millis kMaxEntryHold{ 100 };

// The server's own final answer is waited for this long past the deadline.
inline constexpr Millis kLateAnswerMargin{ 40 };

} // namespace caraway

#endif
