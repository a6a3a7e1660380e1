// LoadGate.h: which load may draw on the weight store next.
//
// The store gives a few loads its full speed; more at once all go slower, the
// bulletin's model as much as the briefing's. So a load that would come from
// the store asks first. Whoever answers (one instance of the fleet, without
// storing anything) has the whole queue before it and lets in by urgency. Its
// loss costs speed, never a promise: whoever is asked next begins with an
// empty gate, and whoever reaches nobody takes its zone's part.
#ifndef caraway_decide_LoadGate_h
#define caraway_decide_LoadGate_h

#include <array>
#include <map>
#include <string>

#include "caraway/RequestClass.h"
#include "caraway/Time.h"
#include "decide/TokenBucket.h"

namespace caraway {

struct LoadGateParameters
{
  int mMaxConcurrent = 4;      // that the store gives full speed
  double mStartsPerSecond = 5; // that the store takes
  // An urgent load is let in above mAtOnce by so many: it is slowed a little
  // by the others and them by it, where waiting would cost it a whole load.
  int mUrgentExtra = 2;
  // A place or a wait that isn't asked for again within this has been left by
  // a loader that died.
  Millis mLease{ 3000 };
  // Waits count from later by this, for each class: the order is by urgency,
  // but a briefing's load isn't passed for ever.
  std::array<Millis, kRequestClassCount> mClassDelay{ Millis(0),
                                                      Millis(10000),
                                                      Millis(60000) };
};

struct LoadGateEntry
{
  RequestClass mClass = RequestClass::Interactive;
  TimePoint mArrived{};
  TimePoint mLastPolled{}; // last asked
  bool mHasPermit = false;
};

struct LoadGate
{
  explicit LoadGate(LoadGateParameters aParameters, TimePoint aNow);

  LoadGateParameters mParameters;
  TokenBucket mStartBucket;
  std::map<std::string, LoadGateEntry> mEntries; // by the load's id
};

struct LoadGateRequest
{
  std::string mId;                                 // of the load
  RequestClass mClass = RequestClass::Interactive; // may grow more urgent
  bool mAlreadyAdmitted =
    false; // another gate let it in before; counted, not stopped
};

struct LoadGateReply
{
  bool mHasPermit = false;  // until a lease passes without its asking again
  Millis mPollAfter{ 100 }; // when to ask again; later the more are before it
};

// Idempotent: an answer may be lost.
LoadGateReply
LoadGateAcquire(LoadGate& aGate,
                const LoadGateRequest& aRequest,
                TimePoint aNow);
void
LoadGateRelease(LoadGate& aGate, const std::string& aId);
int
LoadGateAdmitted(const LoadGate& aGate);

} // namespace caraway

#endif
