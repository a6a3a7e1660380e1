// PacedChoice.h: the choice among servers that report their pace.
//
// All instances choose by reports and counts that are up to some seconds old.
// If each took the best server, all would take the same one, so each takes the
// better of two that are drawn at random.
#ifndef caraway_decide_PacedChoice_h
#define caraway_decide_PacedChoice_h

#include <vector>

#include "decide/ServerView.h"

namespace caraway {

// aCandidates can all take the request. Returns null if there are none.
Backend*
ChooseByPace(const std::vector<Backend*>& aCandidates,
             const ServerRequirements& aRequirements,
             TimePoint aNow,
             std::mt19937& aRandom);

} // namespace caraway

#endif
