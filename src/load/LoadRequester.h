// LoadRequester.h: requests the load of a model or adapter that no server
// holds.
#ifndef caraway_load_LoadRequester_h
#define caraway_load_LoadRequester_h

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "caraway/Time.h"
#include "decide/LoadPatience.h"

namespace caraway {

// The least urgent priority; 0 is the most urgent.
inline constexpr int kLowestPriority = 9;

struct LoadRequest
{
  std::string mService;
  std::string mModel;
  std::string mAdapter;       // "" = the model itself
  int mPriority = 5;          // 0 = most urgent
  Millis mLeft{ 0 };          // until the answer must start
  bool mExtraReplica = false; // another replica beside an existing one
  // Software version of the server that must load it; "" = any.
  std::string mVersion{};
  LoadPurpose mPurpose = LoadPurpose::Unstated;
  // Zones where a load is of no use to the request.
  std::set<std::string> mExcludedZones{};
  // Some zones are of no use, so that a load in another zone than the one that
  // is asked doesn't make this one needless.
  bool mZoneBound = false;

  // Whether a server of aVersion may load it.
  bool Fits(const std::string& aServerVersion) const
  {
    return mVersion.empty() || mVersion == aServerVersion;
  }
};

class LoadRequester
{
public:
  virtual ~LoadRequester() = default;
  // Sends a load request, unless the same one was sent just before; a request
  // that waits for the model may call this at any time.
  virtual void RequestLoad(const LoadRequest& aRequest) = 0;
  // Time until the load is expected to end; nothing while that is not known.
  virtual std::optional<Millis> Expected(const LoadRequest& aRequest) = 0;
};

} // namespace caraway

#endif
