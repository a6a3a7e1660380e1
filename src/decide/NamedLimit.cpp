#include "decide/NamedLimit.h"

namespace caraway {

void
NamedLimit::OnAnswer(std::optional<double> aPerSecond, TimePoint aAskedAt)
{
  if (aAskedAt >= mAskedAt) {
    mPerSecond = aPerSecond;
    mAskedAt = aAskedAt;
  }
}

} // namespace caraway
