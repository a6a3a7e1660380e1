// RepeatRotation.h: spreads the repeats of many states evenly over a round.
//
// The load that it is designed for: states that are sent to hundreds of
// instances by datagrams, each when it changes and all again and again, because
// datagrams get lost. Sent at once, the repeats would fill a narrow link for
// most of a second.
#ifndef caraway_decide_RepeatRotation_h
#define caraway_decide_RepeatRotation_h

#include <string>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

class RepeatRotation
{
public:
  // Returns those of aNames, which are sorted, whose turn it is: each is
  // returned once per aRound. To be called several times per round, or once.
  std::vector<std::string> Due(const std::vector<std::string>& aNames,
                               Millis aRound,
                               TimePoint aNow);

private:
  std::string mLast; // returned last
  TimePoint mCalledAt{};
  double mOwed = 0; // names to return, with the fraction of one
};

} // namespace caraway

#endif
