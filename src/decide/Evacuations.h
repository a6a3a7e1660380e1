// Evacuations.h: the availability zones that operators have taken out of
// service, as far as this instance knows.
//
// The set is only ever replaced as a whole, by one that is known as of a newer
// revision of the store, whether the store or another instance reported it.
#ifndef caraway_decide_Evacuations_h
#define caraway_decide_Evacuations_h

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

class Evacuations
{
public:
  struct Change
  {
    std::vector<std::string> mEvacuated;
    std::vector<std::string> mLifted;

    bool Any() const { return !mEvacuated.empty() || !mLifted.empty(); }
  };
  // How this instance learnt of a zone's evacuation.
  struct Origin
  {
    int64_t mRevision = 0; // as of which the set was known
    TimePoint mAt{};
  };

  // aZones: all evacuated zones as of revision aAsOf of the store. Ignored
  // unless aAsOf is newer than what is known.
  Change Apply(const std::set<std::string>& aZones,
               int64_t aAsOf,
               TimePoint aNow);

  bool Evacuated(const std::string& aZone) const
  {
    return mZones.count(aZone) > 0;
  }
  const std::set<std::string>& Zones() const { return mZones; }
  bool Known() const { return mAsOf > 0; }
  int64_t AsOf() const { return mAsOf; } // 0 = nothing known yet
  const std::map<std::string, Origin>& Origins() const { return mOrigins; }

private:
  std::set<std::string> mZones;
  std::map<std::string, Origin> mOrigins; // by zone of mZones
  int64_t mAsOf = 0;
};

} // namespace caraway

#endif
