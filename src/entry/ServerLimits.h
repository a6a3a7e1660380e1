// ServerLimits.h: applies and logs the limits that servers name, in each answer
// to a request, an order or a report.
#ifndef caraway_entry_ServerLimits_h
#define caraway_entry_ServerLimits_h

#include <optional>
#include <string>

#include "entry/EntryState.h"

namespace caraway {

// What an answer of the server, to a request sent at aAskedAt, names.
void
ApplyNamedLimits(EntryState& aState,
                 const std::string& aServer,
                 const AnswerFacts& aFacts,
                 TimePoint aAskedAt);

// The server named a rate limit, or none, in its answer to a request of this or
// another instance that was sent at aAskedAt.
void
ApplyRateLimit(EntryState& aState,
               const std::string& aServer,
               std::optional<double> aPerSecond,
               TimePoint aAskedAt);

} // namespace caraway

#endif
