#include "decide/DemandExchange.h"

#include <utility>

namespace caraway {

void
DemandExchange::CountOwn(const std::string& aName, TimePoint aNow)
{
  mDemand.Add(aName, 1, aNow);
  ++mForHeartbeat.mAll[aName];
  ++mForHolders.mAll[aName];
}

void
DemandExchange::CountOwnUrgent(const std::string& aModel,
                               const std::string& aZone,
                               TimePoint aNow)
{
  mUrgent.Add(aModel, aZone, 1, aNow);
  ++mForHeartbeat.mUrgent[aModel];
  ++mForHolders.mUrgent[aModel];
}

DemandReport
DemandExchange::TakeForHeartbeat()
{
  return std::exchange(mForHeartbeat, {});
}

DemandReport
DemandExchange::TakeForHolders()
{
  return std::exchange(mForHolders, {});
}

void
DemandExchange::OnHeartbeat(const DemandReport& aReport,
                            const std::string& aZone,
                            int aTicksPerRound,
                            TimePoint aNow)
{
  bool reported =
    mReportedAt != TimePoint() && aNow - mReportedAt < kReportLife;
  if (reported) {
    return; // the same requests are in a report
  }
  Add(aReport, aZone, aTicksPerRound, aNow);
}

void
DemandExchange::OnReport(const DemandReport& aReport,
                         const std::string& aZone,
                         TimePoint aNow)
{
  mReportedAt = aNow;
  Add(aReport, aZone, 1, aNow);
}

void
DemandExchange::Add(const DemandReport& aReport,
                    const std::string& aZone,
                    int aFactor,
                    TimePoint aNow)
{
  for (const auto& [name, count] : aReport.mAll) {
    mDemand.Add(name, count * aFactor, aNow);
  }
  for (const auto& [model, count] : aReport.mUrgent) {
    mUrgent.Add(model, aZone, count * aFactor, aNow);
  }
}

} // namespace caraway
