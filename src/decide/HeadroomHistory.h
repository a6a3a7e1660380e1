// HeadroomHistory.h: how far a bucket was from full, since any moment.
#ifndef caraway_decide_HeadroomHistory_h
#define caraway_decide_HeadroomHistory_h

#include <deque>

#include "caraway/Time.h"

namespace caraway {

// A reservation that turns out too large is given back when the request
// ends, perhaps a minute later. Giving all of it back would let more through
// than the burst: meanwhile the bucket may have been full, and what dripped
// over the brim is gone. Had only the true cost been taken at the start, the
// level now would be higher by no more than the least headroom since then.
// So that is the most that is given back, and the window bound stays exact.
class HeadroomHistory
{
public:
  // The bucket had aHeadroom tokens to its brim at aNow.
  void Record(TimePoint aNow, double aHeadroom);
  // Least headroom noted at or after aSince.
  double MinSince(TimePoint aSince) const;
  // A refund of aTokens raised the level: every earlier headroom counts less.
  void Lower(double aTokens);
  void ForgetBefore(TimePoint aTime);
  size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    TimePoint mAt;
    double mHeadroom;
  };
  // Increasing in time and in headroom: an entry followed by a smaller one is
  // never the least again and is dropped.
  std::deque<Entry> mEntries;
};

} // namespace caraway

#endif
