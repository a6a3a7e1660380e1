// Log.h: JSON lines on standard error.
#ifndef caraway_base_Log_h
#define caraway_base_Log_h

#include <initializer_list>
#include <string>
#include <utility>

namespace caraway {

using LogField = std::pair<const char*, std::string>;

// Writes {"at":...,"level":"info","event":aEvent,fields...} as one line. Fields
// must never hold a key or a body, since more people read logs than may see
// those.
void
LogInfo(const char* aEvent, std::initializer_list<LogField> aFields);
void
LogWarn(const char* aEvent, std::initializer_list<LogField> aFields);

// Sets the instance's name, written on every line from then on.
void
LogStart(const std::string& aInstance);

} // namespace caraway

#endif
