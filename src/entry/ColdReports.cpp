#include "entry/ColdReports.h"

namespace caraway {

namespace {

// Limit of the values that are remembered as logged.
constexpr size_t kMaxIgnored = 1000;

} // namespace

bool
IsCold(EntryState& aState, const std::string& aServer)
{
  const Backend* backend = aState.mServers.Find(aServer);
  return backend && aState.Now() < aState.mServers.ColdUntil(*backend);
}

void
LogIfCold(EntryState& aState,
          const std::string& aServer,
          bool aWasCold,
          const char* aWhy)
{
  if (aWasCold || !IsCold(aState, aServer)) {
    return;
  }
  const Backend& backend = *aState.mServers.Find(aServer);
  auto left = aState.mServers.ColdUntil(backend) - aState.Now();
  aState.mLog.Line("server_cold")
    .Text("server", aServer)
    .Text("zone", backend.mEntry.mZone)
    .Text("why", aWhy)
    .Ms("left_ms", std::chrono::duration_cast<Millis>(left));
}

void
ApplyColdAnswer(EntryState& aState,
                const std::string& aServer,
                const AnswerFacts& aFacts,
                TimePoint aSentAt)
{
  if (aFacts.mColdLeftUnreadable) {
    LogIgnored(aState, aServer, "answer's cold time");
  }
  if (aFacts.mColdLeft) {
    bool cold = IsCold(aState, aServer);
    aState.mServers.OnColdReport(
      aServer, *aFacts.mColdLeft, aSentAt, aState.Now());
    LogIfCold(aState, aServer, cold, "answer");
  }
}

void
LogIgnored(EntryState& aState,
           const std::string& aSource,
           const std::string& aField)
{
  bool room = aState.mIgnoredValues.size() < kMaxIgnored;
  if (room && aState.mIgnoredValues.emplace(aSource, aField).second) {
    aState.mLog.Line("value_ignored")
      .Text("source", aSource)
      .Text("field", aField);
  }
}

} // namespace caraway
