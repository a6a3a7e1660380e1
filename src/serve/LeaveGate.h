// LeaveGate.h: decides during shutdown whether work may still begin.
#ifndef caraway_serve_LeaveGate_h
#define caraway_serve_LeaveGate_h

#include <mutex>

#include "caraway/Clock.h"
#include "caraway/Result.h"
#include "decide/LeavePlan.h"

namespace caraway {

// Guards the instance's LeavePlan for use by the threads of all requests.
class LeaveGate
{
public:
  explicit LeaveGate(const Clock& aClock);

  void Begin(const LeaveTimes& aTimes);
  bool Leaving() const;
  // When requests still in flight get their last answer.
  TimePoint End() const;

  // ShuttingDown if shutdown would cut off work that is answered by aAnswerBy
  // at the latest. aRun: run state of earlier attempts. aUsual: usual duration
  // of such work; 0 = unknown.
  Result<void> MayStart(TimePoint aAnswerBy,
                        RunState aRun = RunState::NotRun,
                        Millis aUsual = Millis(0)) const;
  // The same for a stream whose first tokens were sent.
  Result<void> MayContinue() const;

private:
  const Clock& mClock;
  mutable std::mutex mLock;
  LeavePlan mPlan;
};

} // namespace caraway

#endif
