// Log.h: JSON lines on standard error.
#ifndef caraway_base_Log_h
#define caraway_base_Log_h

#include <initializer_list>
#include <string>
#include <utility>

namespace caraway {

using LogField = std::pair<const char*, std::string>;

// One line: {"at":...,"level":"info","event":aEvent,fields...}. Fields never
// hold a key or a body: logs are read by more people than keys are shown to.
void
LogInfo(const char* aEvent, std::initializer_list<LogField> aFields);
void
LogWarn(const char* aEvent, std::initializer_list<LogField> aFields);

// Name of the instance, on every line from then on.
void
LogStart(const std::string& aInstance);

} // namespace caraway

#endif
