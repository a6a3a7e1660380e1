// FreshnessCheck.h: asks the sources of the feeds whether there is anything
// newer; implemented by FeedCheck.
#ifndef caraway_entry_FreshnessCheck_h
#define caraway_entry_FreshnessCheck_h

#include <functional>

#include "caraway/Time.h"

namespace caraway {

class FreshnessCheck
{
public:
  // A check takes no longer: a fraction of the time that callers have.
  static constexpr Millis kMaxTime{ 500 };

  virtual ~FreshnessCheck() = default;
  // Calls aDone, unless it is empty, once and later: when the feeds are
  // confirmed or the sources have been asked in vain. Checks that are asked for
  // meanwhile share one.
  virtual void Check(std::function<void()> aDone) = 0;
};

} // namespace caraway

#endif
