// LeaveGate.h: asked before anything is begun for a caller.
#ifndef caraway_serve_LeaveGate_h
#define caraway_serve_LeaveGate_h

#include <mutex>

#include "caraway/Clock.h"
#include "caraway/Result.h"
#include "decide/LeavePlan.h"

namespace caraway {

// The instance's one LeavePlan, for the threads of all requests.
class LeaveGate
{
public:
  explicit LeaveGate(const Clock& aClock);

  void Begin(const LeaveTimes& aTimes);
  bool Leaving() const;
  // All that is under way gets its last answer then.
  TimePoint End() const;

  // ShuttingDown when the end would cut what has its answer by aAnswerBy at the
  // latest. aRun: what is known of earlier tries.
  Result<void> MayStart(TimePoint aAnswerBy,
                        RunState aRun = RunState::NotRun) const;
  // The same for a stream that its caller has begun to read.
  Result<void> MayContinue() const;

private:
  const Clock& mClock;
  mutable std::mutex mLock;
  LeavePlan mPlan;
};

} // namespace caraway

#endif
