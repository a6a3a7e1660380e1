// LoadGate.h: admission of loads to the weight store, by urgency.
//
// The store serves only a few loads at full speed; with more at once all slow
// down, a bulletin's model as much as a briefing's. So a load from the store
// requests a permit first. One instance of the fleet owns the gate, stores
// nothing, sees the whole queue and admits by urgency. Losing the owner costs
// speed but breaks no guarantee: the next owner begins with an empty gate, and
// an instance that reaches no owner uses its zone's part of the limit.
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
  int mMaxConcurrent = 4;      // loads that the store serves at full speed
  double mStartsPerSecond = 5; // load starts that the store accepts
  // Urgent loads admitted above mMaxConcurrent. Sharing the store slows all of
  // them a little, where waiting would cost the urgent one a whole load.
  int mUrgentExtra = 2;
  // A permit or queue entry that isn't renewed within this time belongs to a
  // loader that died.
  Millis mLease{ 3000 };
  // Added to the arrival time, by class: loads are ordered by urgency, but a
  // briefing's load isn't overtaken for ever.
  std::array<Millis, kRequestClassCount> mClassDelay{ Millis(0),
                                                      Millis(10000),
                                                      Millis(60000) };
};

struct LoadGateEntry
{
  RequestClass mClass = RequestClass::Interactive;
  TimePoint mArrived{};
  TimePoint mLastPolled{}; // last request for this load
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
  RequestClass mClass = RequestClass::Interactive; // may become more urgent
  bool mAlreadyAdmitted = false; // by another gate; counted, never refused
};

struct LoadGateReply
{
  bool mHasPermit = false;  // lapses a lease after the last request
  Millis mPollAfter{ 100 }; // grows with the loads ahead
};

// Idempotent, since a reply may be lost.
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
