// LoadClaims.h: which zone loads a model that no server holds.
//
// The load that it is designed for: a burst for a rare model reaches instances
// of all zones within a second, and each asks the zone that looks best to it.
// Two zones would then load the same model for a few requests that one server
// could serve. So zones announce the loads they have queued or started, and a
// zone that receives such a claim in time drops its own load. While the claims
// don't get through, both zones load the model: neither can know that the other
// serves it.
#ifndef caraway_decide_LoadClaims_h
#define caraway_decide_LoadClaims_h

#include <map>
#include <optional>
#include <set>
#include <string>

#include "caraway/Time.h"

namespace caraway {

class LoadClaims
{
public:
  // This zone's own progress with a model.
  enum class OwnProgress
  {
    None,
    Queued,
    Begun,
  };

  explicit LoadClaims(std::string aZone);

  // aZone has queued or started a load of aModel, due at aExpected. Returns
  // true if this zone must drop its queued load.
  bool OnClaim(const std::string& aModel,
               const std::string& aZone,
               bool aBegun,
               TimePoint aExpected,
               OwnProgress aOwn);
  // Time at which another zone expects aModel to be loaded, if one does.
  std::optional<TimePoint> ExpectedFromOtherZone(const std::string& aModel,
                                                 TimePoint aNow) const;
  // Drops the claims of aZones, which load nothing any more.
  void ForgetZones(const std::set<std::string>& aZones);
  // Drops claims whose loads are overdue.
  void Forget(TimePoint aNow);

private:
  struct Claim
  {
    std::string mZone;
    TimePoint mExpected{};
  };

  std::string mZone;
  std::map<std::string, Claim> mClaims; // by model
};

} // namespace caraway

#endif
