#include "decide/WorkPacer.h"

#include <algorithm>

namespace caraway {

void
WorkPacer::OnPass(TimePoint aBegan, TimePoint aEnded)
{
  TimePoint::duration pause = (aEnded - aBegan) * (mParts - 1);
  mNextAt = aEnded + std::min<TimePoint::duration>(pause, kMaxPause);
}

} // namespace caraway
