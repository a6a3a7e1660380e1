// RunTimeEstimates.h: how long requests take on servers, by route.
#ifndef caraway_decide_RunTimeEstimates_h
#define caraway_decide_RunTimeEstimates_h

#include <map>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// Smoothed mean and deviation for each route, as for a TCP retransmission
// timer: two numbers per route, whatever the traffic.
class RunTimeEstimates
{
public:
  // Records a complete answer on aRoute, aTook after the request was sent.
  void Record(const std::string& aRoute, Millis aTook);
  // Duration that few runs exceed; 0 = aRoute is unknown.
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
