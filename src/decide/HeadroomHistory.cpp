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
  // The entry before the cut may be the least for a reservation made between
  // it and the next one; a dropped entry at worst gives back too little when
  // the reservation is older than what is kept.
  while (!mEntries.empty() && mEntries.front().mAt < aTime) {
    mEntries.pop_front();
  }
}

} // namespace caraway
