#include "decide/LoadGate.h"

#include <algorithm>

namespace caraway {

namespace {

void
DropExpired(LoadGate& aGate, TimePoint aNow)
{
  auto& entries = aGate.mEntries;
  for (auto entry = entries.begin(); entry != entries.end();) {
    bool unseen = aNow - entry->second.mSeen > aGate.mParameters.mLease;
    entry = unseen ? entries.erase(entry) : std::next(entry);
  }
}

TimePoint
EffectiveArrival(const LoadGate& aGate, const LoadGateEntry& aEntry)
{
  return aEntry.mArrived +
         aGate.mParameters.mClassDelay[static_cast<size_t>(aEntry.mClass)];
}

// How many wait before aEntry?
int
Before(const LoadGate& aGate, const LoadGateEntry& aEntry)
{
  int before = 0;
  for (const auto& other : aGate.mEntries) {
    bool earlier =
      !other.second.mHasPermit &&
      EffectiveArrival(aGate, other.second) < EffectiveArrival(aGate, aEntry);
    before += earlier ? 1 : 0;
  }
  return before;
}

// A load takes seconds, so that whoever is far behind need not ask often: a
// hundred that wait would ask one instance a thousand times a second.
Millis
PollInterval(const LoadGate& aGate, const LoadGateEntry& aEntry, int aBefore)
{
  constexpr Millis kSoon{ 100 };
  constexpr Millis kForEach{ 50 };
  constexpr int kPartOfLease = 3; // two answers may be lost
  Millis most = aGate.mParameters.mLease / kPartOfLease;
  return aEntry.mHasPermit ? most : std::min(most, kSoon + aBefore * kForEach);
}

} // namespace

LoadGate::LoadGate(LoadGateParameters aParameters, TimePoint aNow)
  : mParameters(aParameters)
  , mStarts(aParameters.mStartsPerSecond, aParameters.mStartsPerSecond, aNow)
{
  mStarts.Fill(aParameters.mStartsPerSecond, aNow);
}

int
LoadGateAdmitted(const LoadGate& aGate)
{
  int inside = 0;
  for (const auto& entry : aGate.mEntries) {
    inside += entry.second.mHasPermit ? 1 : 0;
  }
  return inside;
}

LoadGateReply
LoadGateAcquire(LoadGate& aGate,
                const LoadGateRequest& aQuestion,
                TimePoint aNow)
{
  DropExpired(aGate, aNow);
  auto added = aGate.mEntries.emplace(aQuestion.mId, LoadGateEntry());
  LoadGateEntry& entry = added.first->second;
  if (added.second) {
    entry.mArrived = aNow;
    entry.mClass = aQuestion.mClass;
  }
  entry.mSeen = aNow;
  entry.mClass = std::min(entry.mClass, aQuestion.mClass);
  entry.mHasPermit = entry.mHasPermit || aQuestion.mInside;
  int before = Before(aGate, entry);
  if (!entry.mHasPermit) {
    bool urgent = entry.mClass == RequestClass::Urgent;
    int places =
      aGate.mParameters.mAtOnce + (urgent ? aGate.mParameters.mUrgentExtra : 0);
    entry.mHasPermit = LoadGateAdmitted(aGate) < places && before == 0 &&
                       aGate.mStarts.Take(1, aNow);
  }
  return { entry.mHasPermit, PollInterval(aGate, entry, before) };
}

void
LoadGateRelease(LoadGate& aGate, const std::string& aId)
{
  aGate.mEntries.erase(aId);
}

} // namespace caraway
