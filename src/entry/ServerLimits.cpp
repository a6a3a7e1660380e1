#include "entry/ServerLimits.h"

#include "entry/ColdReports.h"

namespace caraway {

void
ApplyNamedLimits(EntryState& aState,
                 const std::string& aServer,
                 const AnswerFacts& aFacts,
                 TimePoint aAskedAt)
{
  aState.mServers.OnRejectionLimit(aServer, aFacts.mRejectionLimit, aAskedAt);
  if (aFacts.mRateLimitUnreadable) {
    LogIgnored(aState, aServer, "answer's rate limit");
  } else {
    ApplyRateLimit(aState, aServer, aFacts.mRateLimit, aAskedAt);
  }
  ApplyColdAnswer(aState, aServer, aFacts, aAskedAt);
}

void
ApplyRateLimit(EntryState& aState,
               const std::string& aServer,
               std::optional<double> aPerSecond,
               TimePoint aAskedAt)
{
  Backend* backend = aState.mServers.Find(aServer);
  if (!backend) {
    return;
  }
  bool limited = static_cast<bool>(backend->mRateLimit);
  aState.mServers.OnRateLimit(aServer, aPerSecond, aAskedAt);
  if (limited != static_cast<bool>(backend->mRateLimit)) {
    aState.mLog.Line(limited ? "server_limit_ended" : "server_limited")
      .Text("server", aServer)
      .Text("zone", backend->mEntry.mZone)
      .Number("per_second", aPerSecond.value_or(0))
      .Ms("age_ms", aState.AgeOf(aAskedAt));
  }
}

} // namespace caraway
