// DemandExchange.h: how instances tell each other which models are requested.
//
// The load that it is designed for: hundreds of instances with a few requests a
// second each, hundreds of models, and a few lease holders that decide by the
// models' rates what is loaded and unloaded. A heartbeat reaches only a few
// instances; to all others its counts are lost. Scaling up what is received
// makes a rare model look popular and a popular one forgotten, so lease holders
// are sent every count, and use no others.
#ifndef caraway_decide_DemandExchange_h
#define caraway_decide_DemandExchange_h

#include <map>
#include <string>

#include "caraway/Time.h"
#include "decide/DemandTracker.h"
#include "decide/UrgentDemand.h"

namespace caraway {

// Requests by MODEL or MODEL/ADAPTER.
using DemandCounts = std::map<std::string, int>;

// What one instance's callers requested.
struct DemandReport
{
  bool Empty() const { return mAll.empty() && mUrgent.empty(); }

  DemandCounts mAll;
  // Of these, by model, the ones that are late if the model must be loaded. An
  // instance of an older version reports none.
  DemandCounts mUrgent;
};

class DemandExchange
{
public:
  // A request of this instance's callers.
  void CountOwn(const std::string& aName, TimePoint aNow);
  // A request that CountOwn() counts too, and that is late if the model must be
  // loaded. aZone: of this instance.
  void CountOwnUrgent(const std::string& aModel,
                      const std::string& aZone,
                      TimePoint aNow);

  // Own requests since the last heartbeat, or since the last report to the
  // lease holders.
  DemandReport TakeForHeartbeat();
  DemandReport TakeForHolders();

  // From a heartbeat that reaches one in aTicksPerRound instances. aZone: of
  // the instance that sends it.
  void OnHeartbeat(const DemandReport& aReport,
                   const std::string& aZone,
                   int aTicksPerRound,
                   TimePoint aNow);
  // What an instance of aZone reports to this one as a lease holder.
  void OnReport(const DemandReport& aReport,
                const std::string& aZone,
                TimePoint aNow);

  // Requests per second over all instances.
  double Rate(const std::string& aName, TimePoint aNow) const
  {
    return mDemand.Rate(aName, aNow);
  }
  std::map<std::string, double> Rates(TimePoint aNow) const
  {
    return mDemand.Rates(aNow);
  }
  const UrgentDemand& Urgent() const { return mUrgent; }

private:
  // A holder that got no report for this long is no longer taken for one: it
  // counts by heartbeats again.
  static constexpr Millis kReportLife{ 2000 };

  void Add(const DemandReport& aReport,
           const std::string& aZone,
           int aFactor,
           TimePoint aNow);

  DemandTracker mDemand;
  UrgentDemand mUrgent;
  DemandReport mForHeartbeat;
  DemandReport mForHolders;
  TimePoint mReportedAt{}; // when a report arrived last
};

} // namespace caraway

#endif
