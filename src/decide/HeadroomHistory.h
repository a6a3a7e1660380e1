// HeadroomHistory.h: a token bucket's minimum distance from full, since any
// given time.
#ifndef caraway_decide_HeadroomHistory_h
#define caraway_decide_HeadroomHistory_h

#include <deque>

#include "caraway/Time.h"

namespace caraway {

// A reservation that turns out too large is refunded when the request ends,
// perhaps a minute later. A full refund would allow more than the burst:
// meanwhile the bucket may have been full, and the tokens that overflowed are
// lost. Had only the actual cost been taken at the start, the level would now
// be higher by no more than the minimum headroom since then. That minimum
// therefore limits the refund, which keeps the bound of every window exact.
class HeadroomHistory
{
public:
  // The bucket was aHeadroom tokens below its burst at aNow.
  void Record(TimePoint aNow, double aHeadroom);
  // Minimum headroom recorded at or after aSince.
  double MinSince(TimePoint aSince) const;
  // A refund of aTokens raised the level, which reduces every recorded
  // headroom.
  void Lower(double aTokens);
  // Afterwards MinSince() is valid only for times from aTime on.
  void ForgetBefore(TimePoint aTime);
  size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    TimePoint mAt;
    double mHeadroom;
  };
  // Increasing in time and in headroom: an entry followed by a smaller one
  // can't be the minimum again and is dropped.
  std::deque<Entry> mEntries;
};

} // namespace caraway

#endif
