// RunTimeEstimates.h: how long requests take at servers, by route.
#ifndef caraway_decide_RunTimeEstimates_h
#define caraway_decide_RunTimeEstimates_h

#include <map>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// Smoothed mean and deviation of each route, as a retransmission timer keeps
// them: a few floats a route, whatever the traffic.
class RunTimeEstimates
{
public:
  // A run on aRoute was answered whole, aTook after it was sent.
  void Note(const std::string& aRoute, Millis aTook);
  // Few runs take longer; zero when nothing is known of aRoute.
  Millis UsualTime(const std::string& aRoute) const;
  size_t Size() const { return mRoutes.size(); }

private:
  struct Estimate
  {
    double mMean = 0;      // ms
    double mDeviation = 0; // ms
  };
  std::map<std::string, Estimate> mRoutes;
};

} // namespace caraway

#endif
