#include "decide/HeadroomHistory.h"

#include <algorithm>
#include <limits>

namespace caraway {

void
HeadroomHistory::Record(TimePoint aNow, double aHeadroom)
{
  while (!mEntries.empty() && mEntries.back().mHeadroom >= aHeadroom) {
    mEntries.pop_back();
  }
  mEntries.push_back({ aNow, aHeadroom });
}

double
HeadroomHistory::MinSince(TimePoint aSince) const
{
  auto found = std::lower_bound(
    mEntries.begin(),
    mEntries.end(),
    aSince,
    [](const Entry& aEntry, TimePoint aTime) { return aEntry.mAt < aTime; });
  return found == mEntries.end() ? std::numeric_limits<double>::infinity()
                                 : found->mHeadroom;
}

void
HeadroomHistory::Lower(double aTokens)
{
  for (Entry& entry : mEntries) {
    entry.mHeadroom = std::max(0.0, entry.mHeadroom - aTokens);
  }
}

void
HeadroomHistory::ForgetBefore(TimePoint aTime)
{
  // Only a reservation made before aTime can have its minimum in a dropped
  // entry. TokenBucket no longer refunds such a reservation.
  while (!mEntries.empty() && mEntries.front().mAt < aTime) {
    mEntries.pop_front();
  }
}

} // namespace caraway
