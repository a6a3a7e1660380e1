#include "decide/DemandExchange.h"

#include <utility>

namespace caraway {

void
DemandExchange::CountOwn(const std::string& aName, TimePoint aNow)
{
  mDemand.Add(aName, 1, aNow);
  ++mForHeartbeat[aName];
  ++mForHolders[aName];
}

DemandCounts
DemandExchange::TakeForHeartbeat()
{
  return std::exchange(mForHeartbeat, {});
}

DemandCounts
DemandExchange::TakeForHolders()
{
  return std::exchange(mForHolders, {});
}

void
DemandExchange::OnHeartbeat(const DemandCounts& aCounts,
                            int aTicksPerRound,
                            TimePoint aNow)
{
  bool reported =
    mReportedAt != TimePoint() && aNow - mReportedAt < kReportLife;
  if (reported) {
    return; // the same requests are in a report
  }
  for (const auto& [name, count] : aCounts) {
    mDemand.Add(name, count * aTicksPerRound, aNow);
  }
}

void
DemandExchange::OnReport(const DemandCounts& aCounts, TimePoint aNow)
{
  mReportedAt = aNow;
  for (const auto& [name, count] : aCounts) {
    mDemand.Add(name, count, aNow);
  }
}

} // namespace caraway
