// ServerPermits.h: times at which this instance may send a server that has
// named a rate limit one request; implemented by RatePermits.
#ifndef caraway_entry_ServerPermits_h
#define caraway_entry_ServerPermits_h

#include <functional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

class ServerPermits
{
public:
  struct Answer
  {
    bool mGranted = false;
    Millis mWait{ 0 }; // until the permit, or until the next one that is free
  };

  virtual ~ServerPermits() = default;
  // Asks for a permit that can be used within aWithin. A granted one is entered
  // in the server's Backend, where whichever request is first takes it. Calls
  // aDone once, later.
  virtual void Request(const std::string& aServer,
                       Millis aWithin,
                       std::function<void(const Answer&)> aDone) = 0;
};

} // namespace caraway

#endif
