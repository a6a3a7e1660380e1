// LeavePlan.h: what an instance may still start while it shuts down gracefully.
#ifndef caraway_decide_LeavePlan_h
#define caraway_decide_LeavePlan_h

#include "caraway/Time.h"

namespace caraway {

struct LeaveTimes
{
  Millis mGrace{ 8000 }; // from the signal to the kill, as configured
  // The load balancer probes once a second and stops sending callers after two
  // failed probes.
  Millis mBalancerLag{ 2500 };
  // Kept at the end of the grace period for sending last answers.
  Millis mEndMargin{ 500 };
  // Kept at its very end for the process to exit by itself.
  Millis mExitMargin{ 200 };
  // Time since the signal may have been sent. A process that is stopped notices
  // its signal only when it continues, but is killed a grace period after it
  // was sent.
  Millis mNoticedAfter{ 0 };
};

// Every send of a request is checked by MayStart(): first sends, retries,
// resumed streams and queued requests. What is started gets its final answer
// before the instance exits, as far as that can be predicted.
class LeavePlan
{
public:
  void Begin(TimePoint aNow, const LeaveTimes& aTimes);
  // Sets the grace period, counted from the signal, to aGrace. The end may only
  // move earlier.
  void Shorten(Millis aGrace);
  bool Leaving() const { return mLeaving; }

  // Whether the load balancer may still send callers here. Once it may not,
  // tenants' tokens are handed over to other instances.
  bool ExpectsCallers(TimePoint aNow) const;
  // Whether a request may be sent to a server at aStart. aAnswerBy: time by
  // which it has its final answer, whatever the server does. aUsual: usual
  // duration of such requests; 0 = unknown.
  bool MayStart(TimePoint aStart, TimePoint aAnswerBy, Millis aUsual) const;
  // Whether a stream that the caller has begun to read may be resumed on
  // another server.
  bool MayContinue(TimePoint aNow) const;
  // Time by which all requests in flight get their final answer; max() when not
  // leaving.
  TimePoint End() const { return mEnd; }
  // Time by which the process exits. Streams go on until then: one that is cut
  // needs no last answer. max() when not leaving.
  TimePoint Exit() const { return mExit; }

private:
  bool mLeaving = false;
  TimePoint mBegan{};
  LeaveTimes mTimes;
  TimePoint mCallersUntil = TimePoint::max();
  TimePoint mEnd = TimePoint::max();
  TimePoint mExit = TimePoint::max();
};

} // namespace caraway

#endif
