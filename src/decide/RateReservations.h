// RateReservations.h: who may send a server that has named a rate limit its
// next request, and when.
//
// For each such server one instance keeps the times at which all instances may
// send, and gives each asker the earliest one that is free. A division without
// messages would leave most of a small limit to instances that nobody calls.
// Two instances may keep the same server for a moment, while their lists of
// instances differ or one doesn't answer; each then gives at most half of what
// the server bears.
#ifndef caraway_decide_RateReservations_h
#define caraway_decide_RateReservations_h

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

// Requests that a server with this limit may get in a
// RateReservations::kWindow.
int
RequestsPerWindow(double aPerSecond);

struct RateReservation
{
  // When the request may be sent; nothing if that would be too late.
  std::optional<TimePoint> mAt;
  // Time until then, also if it would be too late.
  Millis mWait{ 0 };
};

class RateReservations
{
public:
  static constexpr Millis kWindow{ 4000 };
  // A permit that isn't used for this long after its time has lapsed.
  static constexpr Millis kPermitLife{ 200 };
  // Nothing is given for later than this.
  static constexpr Millis kMaxAhead{ 2000 };
  // After this time, what a former keeper gave can't be used any more.
  static constexpr Millis kSettleTime = kWindow + kMaxAhead + kPermitLife;

  // aBy: the latest time that is of use to the asker. aStartTime: of the
  // server's process; another one starts anew.
  RateReservation Reserve(const std::string& aServer,
                          int64_t aStartTime,
                          double aPerSecond,
                          TimePoint aBy,
                          TimePoint aNow);
  // Forgets servers without reservations in the last window.
  void Sweep(TimePoint aNow);

private:
  struct Times
  {
    int64_t mStartTime = 0;
    std::deque<TimePoint> mTimes; // in order
  };
  std::map<std::string, Times> mServers;
};

} // namespace caraway

#endif
