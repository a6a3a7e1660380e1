// LoadRequester.h: asks for a model or adapter that no server holds.
#ifndef caraway_entry_LoadRequester_h
#define caraway_entry_LoadRequester_h

#include <functional>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// The least urgent; 0 is the most.
inline constexpr int kLowestPriority = 9;

struct LoadRequest
{
  std::string mService;
  std::string mModel;
  std::string mAdapter; // "" = the model itself
  int mPriority = 5;    // 0 = most urgent
  Millis mLeft{ 0 };    // until the request's answer begins late
  bool mMore = false;   // another replica, though there is one
};

class LoadRequester
{
public:
  virtual ~LoadRequester() = default;
  // Asks again at most every so often; whoever waits may call it at any time.
  virtual void Want(const LoadRequest& aWant) = 0;
  // Until it is expected to be there; nothing while that isn't known.
  virtual std::optional<Millis> Expected(const LoadRequest& aWant) = 0;
};

} // namespace caraway

#endif
