#include "decide/LoadGate.h"

#include <algorithm>

namespace caraway {

namespace {

void
DropUnseen(LoadGate& aGate, TimePoint aNow)
{
  auto& entries = aGate.mEntries;
  for (auto entry = entries.begin(); entry != entries.end();) {
    bool unseen = aNow - entry->second.mSeen > aGate.mTerms.mLease;
    entry = unseen ? entries.erase(entry) : std::next(entry);
  }
}

TimePoint
TurnOf(const LoadGate& aGate, const LoadGateEntry& aEntry)
{
  return aEntry.mArrived +
         aGate.mTerms.mHandicap[static_cast<size_t>(aEntry.mClass)];
}

// How many wait before aEntry?
int
Before(const LoadGate& aGate, const LoadGateEntry& aEntry)
{
  int before = 0;
  for (const auto& other : aGate.mEntries) {
    bool earlier =
      !other.second.mIn && TurnOf(aGate, other.second) < TurnOf(aGate, aEntry);
    before += earlier ? 1 : 0;
  }
  return before;
}

// A load takes seconds, so that whoever is far behind need not ask often: a
// hundred that wait would ask one instance a thousand times a second.
Millis
AskAgain(const LoadGate& aGate, const LoadGateEntry& aEntry, int aBefore)
{
  constexpr Millis kSoon{ 100 };
  constexpr Millis kForEach{ 50 };
  constexpr int kPartOfLease = 3; // two answers may be lost
  Millis most = aGate.mTerms.mLease / kPartOfLease;
  return aEntry.mIn ? most : std::min(most, kSoon + aBefore * kForEach);
}

} // namespace

LoadGate::LoadGate(LoadGateTerms aTerms, TimePoint aNow)
  : mTerms(aTerms)
  , mStarts(aTerms.mStartsPerSecond, aTerms.mStartsPerSecond, aNow)
{
  mStarts.Fill(aTerms.mStartsPerSecond, aNow);
}

int
LoadGateInside(const LoadGate& aGate)
{
  int inside = 0;
  for (const auto& entry : aGate.mEntries) {
    inside += entry.second.mIn ? 1 : 0;
  }
  return inside;
}

LoadGateAnswer
LoadGateAsk(LoadGate& aGate, const LoadGateQuestion& aQuestion, TimePoint aNow)
{
  DropUnseen(aGate, aNow);
  auto added = aGate.mEntries.emplace(aQuestion.mId, LoadGateEntry());
  LoadGateEntry& entry = added.first->second;
  if (added.second) {
    entry.mArrived = aNow;
    entry.mClass = aQuestion.mClass;
  }
  entry.mSeen = aNow;
  entry.mClass = std::min(entry.mClass, aQuestion.mClass);
  entry.mIn = entry.mIn || aQuestion.mInside;
  int before = Before(aGate, entry);
  if (!entry.mIn) {
    bool urgent = entry.mClass == RequestClass::Urgent;
    int places =
      aGate.mTerms.mAtOnce + (urgent ? aGate.mTerms.mUrgentBeyond : 0);
    entry.mIn = LoadGateInside(aGate) < places && before == 0 &&
                aGate.mStarts.Take(1, aNow);
  }
  return { entry.mIn, AskAgain(aGate, entry, before) };
}

void
LoadGateLeave(LoadGate& aGate, const std::string& aId)
{
  aGate.mEntries.erase(aId);
}

} // namespace caraway
