// ServerPace.h: how long work takes on a server now, as a multiple of the
// usual.
#ifndef caraway_decide_ServerPace_h
#define caraway_decide_ServerPace_h

#include "caraway/Time.h"

namespace caraway {

// Estimate from the server's own reports. The last one loses weight with its
// age, and the estimate returns to the server's long-run mean, which itself
// returns to the usual when reports stop: servers that look slow get few
// requests, so few reports could correct it.
class ServerPace
{
public:
  // aAt: when the server reported; one older than the last has no effect.
  void Record(double aPace, TimePoint aAt);
  double Estimate(TimePoint aNow) const;

private:
  double MeanAt(TimePoint aNow) const;

  double mLast = 1;
  double mMean = 1;
  TimePoint mLastAt{}; // default = no report yet
};

} // namespace caraway

#endif
