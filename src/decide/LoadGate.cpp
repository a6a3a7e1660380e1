#include "decide/LoadGate.h"

#include <algorithm>

namespace caraway {

namespace {

void
DropExpired(LoadGate& aGate, TimePoint aNow)
{
  auto& entries = aGate.mEntries;
  for (auto entry = entries.begin(); entry != entries.end();) {
    bool expired = aNow - entry->second.mLastPolled > aGate.mParameters.mLease;
    entry = expired ? entries.erase(entry) : std::next(entry);
  }
}

TimePoint
EffectiveArrival(const LoadGate& aGate, const LoadGateEntry& aEntry)
{
  return aEntry.mArrived +
         aGate.mParameters.mClassDelay[static_cast<size_t>(aEntry.mClass)];
}

// Waiting loads that are ahead of aEntry.
int
CountAhead(const LoadGate& aGate, const LoadGateEntry& aEntry)
{
  int ahead = 0;
  for (const auto& other : aGate.mEntries) {
    bool earlier =
      !other.second.mHasPermit &&
      EffectiveArrival(aGate, other.second) < EffectiveArrival(aGate, aEntry);
    ahead += earlier ? 1 : 0;
  }
  return ahead;
}

// A load takes seconds, so a request far back in the queue polls rarely. At a
// fixed 100 ms, a hundred waiting loads would send one instance a thousand
// requests a second.
Millis
PollInterval(const LoadGate& aGate, const LoadGateEntry& aEntry, int aAhead)
{
  constexpr Millis kMinPoll{ 100 };
  constexpr Millis kPollPerLoadAhead{ 50 };
  constexpr int kPollsPerLease = 3; // two replies may be lost
  Millis longest = aGate.mParameters.mLease / kPollsPerLease;
  return aEntry.mHasPermit
           ? longest
           : std::min(longest, kMinPoll + aAhead * kPollPerLoadAhead);
}

} // namespace

LoadGate::LoadGate(LoadGateParameters aParameters, TimePoint aNow)
  : mParameters(aParameters)
  , mStartBucket(aParameters.mStartsPerSecond,
                 aParameters.mStartsPerSecond,
                 aNow)
{
  mStartBucket.Fill(aParameters.mStartsPerSecond, aNow);
}

int
LoadGateAdmitted(const LoadGate& aGate)
{
  int admitted = 0;
  for (const auto& entry : aGate.mEntries) {
    admitted += entry.second.mHasPermit ? 1 : 0;
  }
  return admitted;
}

LoadGateReply
LoadGateAcquire(LoadGate& aGate,
                const LoadGateRequest& aRequest,
                TimePoint aNow)
{
  DropExpired(aGate, aNow);
  auto added = aGate.mEntries.emplace(aRequest.mId, LoadGateEntry());
  LoadGateEntry& entry = added.first->second;
  if (added.second) {
    entry.mArrived = aNow;
    entry.mClass = aRequest.mClass;
  }
  entry.mLastPolled = aNow;
  entry.mClass = std::min(entry.mClass, aRequest.mClass);
  entry.mHasPermit = entry.mHasPermit || aRequest.mAlreadyAdmitted;
  int ahead = CountAhead(aGate, entry);
  if (!entry.mHasPermit) {
    bool urgent = entry.mClass == RequestClass::Urgent;
    int limit = aGate.mParameters.mMaxConcurrent +
                (urgent ? aGate.mParameters.mUrgentExtra : 0);
    entry.mHasPermit = LoadGateAdmitted(aGate) < limit && ahead == 0 &&
                       aGate.mStartBucket.Take(1, aNow);
  }
  return { entry.mHasPermit, PollInterval(aGate, entry, ahead) };
}

void
LoadGateRelease(LoadGate& aGate, const std::string& aId)
{
  aGate.mEntries.erase(aId);
}

} // namespace caraway
