// NamedLimit.h: a limit that a server names in its answers, for all instances
// together. It holds until an answer no longer names it; a server that starts
// again has none.
#ifndef caraway_decide_NamedLimit_h
#define caraway_decide_NamedLimit_h

#include <optional>

#include "caraway/Time.h"

namespace caraway {

class NamedLimit
{
public:
  // What an answer said, nothing if it named none; aAskedAt: when its request
  // was sent. Answers overtake each other, the one to the latest request
  // counts.
  void OnAnswer(std::optional<double> aPerSecond, TimePoint aAskedAt);

  explicit operator bool() const { return mPerSecond.has_value(); }
  // A second, from all instances; only while there is a limit.
  double operator*() const { return *mPerSecond; }
  // When the request was sent whose answer is the newest that is known.
  TimePoint AskedAt() const { return mAskedAt; }

private:
  std::optional<double> mPerSecond;
  TimePoint mAskedAt{};
};

} // namespace caraway

#endif
