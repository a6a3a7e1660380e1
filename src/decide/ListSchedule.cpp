#include "decide/ListSchedule.h"

#include <algorithm>

namespace caraway {

Millis
ListSchedule::Wait(bool aNeeded) const
{
  return aNeeded ? std::min(mInterval, kNeededInterval) : mInterval;
}

Millis
ListSchedule::LongestWait(int aInstances)
{
  return std::max(kMaxInterval, kIntervalPerInstance * aInstances);
}

void
ListSchedule::OnRead(bool aGood, int aInstances)
{
  if (!aGood) {
    mInterval = kRetryInterval;
    return;
  }
  Millis ofFleet = kIntervalPerInstance * aInstances;
  Millis least = std::max(kMinInterval, ofFleet);
  Millis most = LongestWait(aInstances);
  mInterval = std::clamp(mInterval * 2, least, most);
}

} // namespace caraway
