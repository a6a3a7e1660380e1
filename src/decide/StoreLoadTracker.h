// StoreLoadTracker.h: when a zone may start a load from the weight store.
//
// Beyond a few concurrent loads each one slows down in proportion, so that more
// of them gain nothing and make all of them late. The store doesn't report how
// many it serves at full speed: this is estimated from the duration of loads.
// The zones report their loads to each other and together stay within the
// estimate. The store also forbids loads beyond a rate; each zone keeps to an
// equal part of it, so that the total stays within the rate while zones can't
// reach each other.
#ifndef caraway_decide_StoreLoadTracker_h
#define caraway_decide_StoreLoadTracker_h

#include <deque>
#include <map>
#include <string>

#include "caraway/Time.h"

namespace caraway {

class StoreLoadTracker
{
public:
  // Interval at which a zone reports its loads in progress again. The store may
  // slow a load, so its end isn't known when it starts.
  static constexpr Millis kReportInterval{ 1000 };

  StoreLoadTracker();

  // aPerSecond: loads per second over all zones. aServers: number of servers in
  // this zone.
  void SetLimits(double aPerSecond, size_t aZones, size_t aServers);

  // Time until a load may start; 0 = now.
  Millis Wait(TimePoint aNow) const;
  // aUsualTime: duration of the load at full speed.
  void Began(const std::string& aServer, Millis aUsualTime, TimePoint aNow);
  // aLoaded: the load succeeded; else it was abandoned.
  void Ended(const std::string& aServer, bool aLoaded, TimePoint aNow);
  // A load of another zone; aLeft: its remaining time, 0 = it has ended. A load
  // that isn't reported again counts for little longer than aLeft.
  void OnOtherZoneLoad(const std::string& aServer,
                       Millis aLeft,
                       TimePoint aNow);

  // Estimated number of concurrent loads that the store serves at full speed.
  double EstimatedCapacity() const { return mEstimatedCapacity; }
  // Loads of other zones that are remembered.
  size_t OtherZoneLoads() const { return mOtherZoneLoads.size(); }

private:
  struct Load
  {
    TimePoint mBegan{};
    Millis mUsualTime{ 0 };
    size_t mConcurrent = 0; // in progress when it started, itself included
  };
  size_t LoadsInProgress(TimePoint aNow) const;

  double mPerSecond = 0;     // of this zone
  size_t mMaxConcurrent = 1; // of this zone
  double mEstimatedCapacity;
  std::deque<TimePoint> mBegan;
  std::map<std::string, Load> mRunning;             // by server
  std::map<std::string, TimePoint> mOtherZoneLoads; // assumed end, by server
};

} // namespace caraway

#endif
