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
  KillAll,   // SIGKILL of all instances at once
  Freeze,    // SIGSTOP, then SIGCONT
  Reload,    // SIGHUP
  Configure, // a configuration with other limits or timeouts
  Store,     // the store doesn't answer, is busy, or loses answers
  Servers,   // a server cuts answers off, fails, refuses, answers unmarked
             // refusals to what it ran, sends without end, or sends answers
             // once more
  Drain,     // a server is listed as draining for a time
  Version,   // an engine starts again under its id with another version
  Crashes,   // engines crash on requests with a part of a prompt
  Keys,      // a new key for a tenant; the former ones stay
  Stale,     // a freeze during which a key is added and the watch dies
  Limit,     // an engine names how many requests a second it takes
  Odd,       // the store has an entry that can't be read
  Orders,    // an engine leaves orders unanswered; they are carried out late
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
