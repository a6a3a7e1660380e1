// FreshnessCheck.h: asks the sources of the feeds whether there is anything
// newer; implemented by FeedCheck.
#ifndef caraway_entry_FreshnessCheck_h
#define caraway_entry_FreshnessCheck_h

#include <algorithm>
#include <functional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

class FreshnessCheck
{
public:
  // A check takes no longer: a fraction of the time that callers have.
  static constexpr Millis kMaxTime{ 500 };

  // An event loop with slow passes reads an answer only several passes after
  // the question: it connects in one, sends in the next, reads in a third.
  static constexpr int kMinPasses = 5;
  static constexpr Millis kMaxSlowTime{ 3000 };

  // The same where events wait for aDelay to be handled.
  static Millis MaxTime(Millis aDelay)
  {
    return std::clamp(aDelay * kMinPasses, kMaxTime, kMaxSlowTime);
  }

  virtual ~FreshnessCheck() = default;
  // Calls aDone, unless it is empty, once and later: when the feeds are
  // confirmed or the sources have been asked in vain. Checks that are asked for
  // meanwhile share one.
  virtual void Check(std::function<void()> aDone) = 0;
  // Reads the entry of a server from the store and calls aDone once, at once or
  // later, whether it could be read or not.
  virtual void ReadServer(const std::string& aServer,
                          std::function<void()> aDone) = 0;
};

} // namespace caraway

#endif
