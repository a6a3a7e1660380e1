// SoakFault.h: a fault injected into an instance or one of its dependencies.
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
  Store,     // the store doesn't answer, is busy, or loses answers
  Servers,   // servers cut answers off, fail, or refuse
  Drain,     // a server leaves and comes back
};

struct SoakFault
{
  SoakFaultKind mKind = SoakFaultKind::Configure;
  size_t mInstance = 0; // for the first four kinds
  TimePoint mFrom{};
  TimePoint mUntil{}; // for a terminated or killed process: when it exited
};

} // namespace caraway

#endif
