// StoreLoadTracker.h: when a zone may begin a load from the weight store.
//
// Beyond a few loads at once each takes longer in proportion, so that more at
// once bring nothing and make all late. How many it carries isn't told: it is
// learnt from how long loads take. The zones tell each other of theirs, and
// together keep to it. Beyond a rate loads are forbidden; there each zone keeps
// to an even part, so that the sum holds while zones can't talk.
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
  StoreLoadTracker();

  // aPerSecond: over all zones. aServers: of this zone.
  void SetLimits(double aPerSecond, size_t aZones, size_t aServers);

  // Until a load may begin; 0 = now.
  Millis Wait(TimePoint aNow) const;
  // aUsualTime: what the load takes at full speed.
  void Began(const std::string& aServer, Millis aUsualTime, TimePoint aNow);
  // aLoaded: it came; else it was given up.
  void Ended(const std::string& aServer, bool aLoaded, TimePoint aNow);
  // Another zone's load; aLeft 0 = it has ended.
  void OnOtherZoneLoad(const std::string& aServer,
                       Millis aLeft,
                       TimePoint aNow);

  // Loads at once that the store carries, as learnt.
  double EstimatedCapacity() const { return mEstimatedCapacity; }

private:
  struct Load
  {
    TimePoint mBegan{};
    Millis mUsualTime{ 0 };
    size_t mConcurrent = 0; // under way when it began, itself included
  };
  size_t LoadsInProgress(TimePoint aNow) const;

  double mPerSecond = 0;     // of this zone
  size_t mMaxConcurrent = 1; // of this zone
  double mEstimatedCapacity;
  std::deque<TimePoint> mBegan;
  std::map<std::string, Load> mRunning;             // by server
  std::map<std::string, TimePoint> mOtherZoneLoads; // expected end, by server
};

} // namespace caraway

#endif
