// SlotForecast.h: when a request that waits for a server's slot gets one.
//
// The load that it is designed for: a popular model lies on three to eight
// servers, whose slots come free every few tens of milliseconds and are taken
// by whichever of some 80 instances tries next. What others have in flight is
// known with a delay longer than most runs, and how many requests wait there
// isn't known at all. So the number of instances that compete for the slots is
// inferred: from the slots that must have come free while requests waited here,
// and how many of them requests of this instance got.
//
// A wrong forecast costs a caller its answer. Wherever evidence is thin, the
// forecast is early.
#ifndef caraway_decide_SlotForecast_h
#define caraway_decide_SlotForecast_h

#include <map>
#include <optional>
#include <string>

#include "caraway/Time.h"
#include "decide/DemandTracker.h"
#include "decide/RunTimeEstimates.h"

namespace caraway {

struct SlotFacts
{
  int mSlots = 0;       // of the servers that hold the model, all in use
  Millis mRunTime{ 0 }; // for which a request holds a slot; 0 = unknown
  int mAhead = 0;       // requests queued here before this one
  int mInstances = 1;   // that may have a similar queue
};

// Times until the request gets a slot.
struct SlotTimes
{
  Millis mEarliest{ 0 }; // it's very likely not before
  Millis mLikely{ 0 };
};

class SlotForecast
{
public:
  // A request for the service was sent to a server, as one of aRoute.
  void OnSent(const std::string& aService,
              const std::string& aRoute,
              TimePoint aNow);
  // Time for which a request of the service holds a slot, by the routes of
  // those sent lately; 0 = some route's run times are unknown.
  Millis RunTime(const std::string& aService,
                 const RunTimeEstimates& aRunTimes,
                 TimePoint aNow) const;

  // aPool: the service and the model whose servers have the slots.
  // A request waits, and no slot is known to be free. Called at each attempt to
  // send it.
  void OnWaiting(const std::string& aPool,
                 const SlotFacts& aFacts,
                 TimePoint aNow);
  // A request of this instance was sent to the pool.
  void OnSlotTaken(const std::string& aPool, TimePoint aNow);
  // The server rejected it for want of room.
  void OnRejected(const std::string& aPool, TimePoint aNow);
  // Nothing if run times or slots are unknown.
  std::optional<SlotTimes> Expect(const std::string& aPool,
                                  const SlotFacts& aFacts,
                                  TimePoint aNow) const;
  // Retry time for a refused request. Callers refused one after the other are
  // given times as far apart as this instance gets slots, so that they don't
  // return together.
  Millis ReserveRetry(const std::string& aPool,
                      const SlotTimes& aTimes,
                      const SlotFacts& aFacts,
                      TimePoint aNow);

private:
  // Slots while requests waited here; both numbers fade.
  struct Contention
  {
    double mFreed = 0;         // by all requests that ended
    double mTaken = 0;         // by this instance
    TimePoint mAt{};           // of the last attempt
    TimePoint mRetriesUntil{}; // latest retry time given
  };
  void ForgetOld(TimePoint aNow);

  std::map<std::string, DemandTracker> mSentByService; // by route
  std::map<std::string, Contention> mContentions;      // by pool
  TimePoint mForgotAt{};
};

} // namespace caraway

#endif
