// EndpointReconciler.h: reconciles engines' reports with their placement
// records.
#ifndef caraway_own_EndpointReconciler_h
#define caraway_own_EndpointReconciler_h

#include <map>
#include <set>
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
  Millis mRereadInterval{ 10000 }; // between reads of an unchanged record
  Millis mMaxOrderDelay{ 120000 }; // no order arrives later than this
  Millis mResendInterval{ 5000 };  // for orders without effect
  // Before an idle replica is unloaded, if a reload would come from the remote
  // store.
  Millis mIdleLimit{ 300000 };
  LoadPlanParameters mParameters;
};

// Each engine is reconciled by one instance of its zone. It carries out
// decisions whose decider died, charges replicas that nobody decided, and
// unloads idle ones. Two reconcilers at once, or one that resumes after a
// freeze, only repeat orders whose fencing tokens the record has issued.
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

  // Reconciles every engine that this instance owns.
  void ReconcileAll();
  // Orders, of all engines, whose times are kept.
  size_t OrdersRemembered() const;

private:
  struct OrderTimes
  {
    TimePoint mFirstSeen{};
    TimePoint mLastSent{}; // by this instance; TimePoint{} = never
  };
  struct EngineState
  {
    StoredPlacement mStored;
    TimePoint mReadAt{};
    // Of the orders that the record asks for, by OrderStateKey.
    std::map<std::string, OrderTimes> mOrders;
  };

  void Reconcile(const EndpointSpec& aEndpoint, EngineState& aState);
  bool ApplyReport(const EndpointSpec& aEndpoint,
                   EngineState& aState,
                   const EngineReport& aReport,
                   TimePoint aNow);
  std::set<std::string> Expired(EngineState& aState, TimePoint aNow) const;
  void Resend(const EndpointSpec& aEndpoint,
              EngineState& aState,
              TimePoint aNow);
  static OrderTimes& TimesOf(EngineState& aState,
                             const PlacedReplica& aReplica,
                             TimePoint aNow);
  static void ForgetOldOrders(EngineState& aState);

  EndpointReconcilerSettings mSettings;
  ConfigHolder& mConfig;
  Members& mMembers;
  PlacementStore& mStore;
  EngineClient& mEngines;
  Loader& mLoader;
  const Clock& mClock;
  // For ReconcileAll()'s thread.
  std::map<std::string, EngineState> mEngineStates;
};

} // namespace caraway

#endif
