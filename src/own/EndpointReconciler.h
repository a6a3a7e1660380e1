// EndpointReconciler.h: holds engines' reports against their records.
#ifndef caraway_own_EndpointReconciler_h
#define caraway_own_EndpointReconciler_h

#include <map>
#include <string>

#include "caraway/Clock.h"
#include "own/EngineClient.h"
#include "own/Loader.h"
#include "own/PlacementStore.h"
#include "peer/Members.h"
#include "platform/ConfigHolder.h"

namespace caraway {

struct EndpointReconcilerSettings
{
  Millis mRereadInterval{ 10000 }; // record read again though nothing changed
  Millis mMaxOrderDelay{ 120000 }; // no order arrives later than this
  Millis mResendInterval{ 5000 };  // an order seen without effect
  Millis mIdleLimit{ 300000 };     // replica idle this long is unloaded, if it
                                   // would have to come from the remote store
  LoadPlanParameters mParameters;
};

// Each engine is kept by one instance of its zone. It carries out what a
// dead decider left behind, charges what nobody decided, and unloads what
// has idled. Two keepers at once, or a frozen one that thaws, only repeat
// orders whose numbers the record has given out.
class EndpointReconciler
{
public:
  EndpointReconciler(EndpointReconcilerSettings aSettings,
                     ConfigHolder& aConfig,
                     Members& aMembers,
                     PlacementStore& aStore,
                     EngineClient& aEngines,
                     Loader& aLoader,
                     const Clock& aClock);

  // One look at every engine that is ours to keep.
  void Round();

private:
  struct EngineState
  {
    StoredPlacement mStored;
    TimePoint mReadAt{};
    std::map<std::string, TimePoint>
      mFirstSeen; // decision and state: first seen
    std::map<std::string, TimePoint> mLastSent;
  };

  void Reconcile(const EndpointSpec& aEndpoint, EngineState& aState);
  bool ApplyReport(const EndpointSpec& aEndpoint,
                   EngineState& aState,
                   const EngineReport& aReport,
                   TimePoint aNow);
  void Resend(const EndpointSpec& aEndpoint,
              EngineState& aState,
              TimePoint aNow);
  TimePoint FirstSeen(EngineState& aState,
                      const PlacedReplica& aReplica,
                      TimePoint aNow);

  EndpointReconcilerSettings mSettings;
  ConfigHolder& mConfig;
  Members& mMembers;
  PlacementStore& mStore;
  EngineClient& mEngines;
  Loader& mLoader;
  const Clock& mClock;
  std::map<std::string, EngineState>
    mEngineStates; // used by the round's thread alone
};

} // namespace caraway

#endif
