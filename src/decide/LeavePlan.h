// LeavePlan.h: what an instance that is told to stop may still begin.
#ifndef caraway_decide_LeavePlan_h
#define caraway_decide_LeavePlan_h

#include "caraway/Time.h"

namespace caraway {

struct LeaveTimes
{
  Millis mGrace{ 8000 };       // from the signal to the kill; settings
  Millis mBalancerLag{ 2500 }; // the balancer asks once a second, and needs
                               // two misses to send nobody here any more
  Millis mEndMargin{ 500 };    // of the grace, for last answers to go out
};

// Every send of a request passes MayStart: first sends, repeats, streams taken
// up again, and those that waited. What is begun has its final answer before
// the instance ends, as far as that can be known.
class LeavePlan
{
public:
  void Begin(TimePoint aNow, const LeaveTimes& aTimes);
  // The granted time is aGrace now: the end may come sooner, never later.
  void Shorten(Millis aGrace);
  bool Leaving() const { return mLeaving; }

  // Callers are still sent here; afterwards tenants' tokens are given away.
  bool ExpectsCallers(TimePoint aNow) const;
  // A request may go to a server at aStart. aAnswerBy: it has its final answer
  // by then, whatever its server does. aUsual: what the like of it takes; zero
  // when nothing is known.
  bool MayStart(TimePoint aStart, TimePoint aAnswerBy, Millis aUsual) const;
  // A stream that its caller has begun to read may go on elsewhere.
  bool MayContinue(TimePoint aNow) const;
  // All that is under way gets its last answer then; max() when not leaving.
  TimePoint End() const { return mEnd; }

private:
  bool mLeaving = false;
  TimePoint mBegan{};
  LeaveTimes mTimes;
  TimePoint mCallersUntil = TimePoint::max();
  TimePoint mEnd = TimePoint::max();
};

} // namespace caraway

#endif
