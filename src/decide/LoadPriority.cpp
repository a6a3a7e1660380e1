#include "decide/LoadPriority.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr int kUrgentBand = 0;

// After all priorities.
constexpr int kKeptBand = 100;

// Patient callers rank after the urgent ones whatever their priority.
constexpr int kFirstPatientBand = 1;

// The time of a load and of the one that goes first.
constexpr int kLoadsUntilDue = 2;

LoadPriorityKey
RankPatient(const LoadPriorityFacts& aFacts, TimePoint aNow)
{
  bool late = aNow + aFacts.mLoad > aFacts.mNeedBy;
  bool due = aNow + aFacts.mLoad * kLoadsUntilDue > aFacts.mNeedBy;
  if (due && !late) {
    return { true, kUrgentBand, false, aFacts.mSince };
  }
  return { true,
           std::max(aFacts.mPriority, kFirstPatientBand),
           late,
           aFacts.mNeedBy - aFacts.mLoad };
}

LoadPriorityKey
RankByPurpose(const LoadPriorityFacts& aFacts, TimePoint aNow)
{
  if (aFacts.mPurpose == LoadPurpose::Patient) {
    return RankPatient(aFacts, aNow);
  }
  if (aFacts.mPurpose == LoadPurpose::Impatient) {
    // It is late whatever happens; only the number of late requests can change.
    return {
      aFacts.mUrgentRate < kPopularRate, kUrgentBand, false, aFacts.mSince
    };
  }
  // A replica for a newly popular model is needed before DemandTracker shows
  // it.
  double rate = aFacts.mPurpose == LoadPurpose::Capacity
                  ? std::max(aFacts.mRate, aFacts.mUrgentRate)
                  : aFacts.mRate;
  bool popular = aFacts.mHasWaiters && rate >= kPopularRate;
  bool late = aNow + aFacts.mLoad > aFacts.mNeedBy;
  return { !popular, aFacts.mPriority, late, aFacts.mSince };
}

} // namespace

LoadPriorityKey
RankLoad(const LoadPriorityFacts& aFacts, TimePoint aNow)
{
  if (aFacts.mDemand == LoadDemand::Kept) {
    return { true, kKeptBand, true, aFacts.mSince };
  }
  if (aFacts.mDemand == LoadDemand::Owed) {
    return { true, aFacts.mPriority, false, aFacts.mSince };
  }
  return RankByPurpose(aFacts, aNow);
}

} // namespace caraway
