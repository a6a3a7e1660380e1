// UrgentDemand.h: requests from callers that can't wait until a missing model
// is loaded.
//
// The load that it is designed for: the most requested models change every few
// seconds, and a newly popular one gets about ten requests a second from the
// first second on. The memory of DemandTracker shows that after several
// seconds, so the requests of the last second are counted apart. Requests are
// also counted by the zone of the instance that received them: each zone has to
// hold what its own callers need once it is cut off.
#ifndef caraway_decide_UrgentDemand_h
#define caraway_decide_UrgentDemand_h

#include <map>
#include <string>

#include "caraway/Time.h"
#include "decide/DemandTracker.h"

namespace caraway {

// Requests per second for a model.
struct UrgentRates
{
  double mFleet = 0;  // from all zones, over DemandTracker::kMemory
  double mZone = 0;   // from one zone, over the same time
  double mRecent = 0; // from all zones, over UrgentDemand::kRecent
};

// Whether the model has become popular just now, so that the longer memory
// doesn't show its demand yet.
bool
IsRising(const UrgentRates& aRates);

class UrgentDemand
{
public:
  static constexpr Millis kRecent{ 1000 };

  // aZone: of the instance that received the requests.
  void Add(const std::string& aModel,
           const std::string& aZone,
           double aCount,
           TimePoint aNow);
  UrgentRates RatesOf(const std::string& aModel,
                      const std::string& aZone,
                      TimePoint aNow) const;
  // Of each model with such requests.
  std::map<std::string, UrgentRates> Rates(const std::string& aZone,
                                           TimePoint aNow) const;

private:
  DemandTracker mFleet;
  DemandTracker mRecent{ kRecent };
  std::map<std::string, DemandTracker> mZones;
};

} // namespace caraway

#endif
