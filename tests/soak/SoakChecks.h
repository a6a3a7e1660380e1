// SoakChecks.h: what must hold, judged by what callers and servers saw.
#ifndef caraway_soak_SoakChecks_h
#define caraway_soak_SoakChecks_h

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "soak/SoakCall.h"
#include "soak/SoakFault.h"
#include "support/StandInServer.h"

namespace caraway {

struct SoakRecord
{
  std::deque<SoakCall> mCalls;
  std::vector<SoakFault> mInjectedFaults;
  std::map<std::string, std::vector<ServerRun>> mRuns; // by request id
  TimePoint mBegan{};
  TimePoint mFaultFreeFrom{}; // no trouble any more
  TimePoint mEnded{};
};

// The tenant whose limit is checked, and that limit.
inline constexpr char kLimitedTenant[] = "globex";

inline constexpr double kLimitedRate = 120; // tokens a second

inline constexpr double kLimitedBurst = 400; // tokens

// From SIGTERM to SIGKILL, as the instances' settings say.
inline constexpr Millis kSoakGrace{ 8000 };

// A line for each thing that doesn't hold; empty = all holds.
std::vector<std::string>
SoakViolations(const SoakRecord& aRecord);

} // namespace caraway

#endif
