// SoakFault.h: what was done to an instance or to what it depends on, and
// when.
#ifndef caraway_soak_SoakFault_h
#define caraway_soak_SoakFault_h

#include <string>

#include "caraway/Time.h"

namespace caraway {

enum class SoakFaultKind
{
  Terminate, // SIGTERM
  Kill,      // SIGKILL
  Freeze,    // SIGSTOP, then SIGCONT
  Reload,    // SIGHUP
  Configure, // a configuration with other limits, rates or times
  Store,     // the store is silent, busy, or loses answers
  Servers,   // servers break off, fail, or refuse
  Drain,     // a server leaves, and comes back
};

struct SoakFault
{
  SoakFaultKind mKind = SoakFaultKind::Configure;
  size_t mInstance = 0; // of the first four
  TimePoint mFrom{};
  TimePoint mUntil{}; // of a process that was told to end: it is gone
};

} // namespace caraway

#endif
