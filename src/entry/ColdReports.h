// ColdReports.h: applies and logs what servers say of being cold.
#ifndef caraway_entry_ColdReports_h
#define caraway_entry_ColdReports_h

#include <string>

#include "entry/EntryState.h"

namespace caraway {

// What an answer of the server, to a request sent at aSentAt, says of it.
void
ApplyColdAnswer(EntryState& aState,
                const std::string& aServer,
                const AnswerFacts& aFacts,
                TimePoint aSentAt);

// Logs that the server is cold if it wasn't until now, aWasCold. aWhy: source
// of the news.
void
LogIfCold(EntryState& aState,
          const std::string& aServer,
          bool aWasCold,
          const char* aWhy);

// Whether the server is known and cold.
bool
IsCold(EntryState& aState, const std::string& aServer);

// Logs, once, that a value was ignored since it can't be read. aSource: whose
// value it is.
void
LogIgnored(EntryState& aState,
           const std::string& aSource,
           const std::string& aField);

} // namespace caraway

#endif
