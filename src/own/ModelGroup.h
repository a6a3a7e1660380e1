// ModelGroup.h: what the owner of a model knows of it in this zone.
#ifndef caraway_own_ModelGroup_h
#define caraway_own_ModelGroup_h

#include <condition_variable>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "caraway/EndpointSpec.h"
#include "caraway/Failure.h"
#include "decide/HomeZone.h"
#include "decide/WaitQueue.h"

namespace caraway {

// An engine that serves the model, as this owner uses it.
struct ServingReplica
{
  EndpointSpec mEndpoint;
  int mInFlight = 0;
  int mBatchInFlight = 0;
  std::set<std::string> mAdapters; // seen loaded
};

// A place given out and not yet given back.
struct HeldEngineSlot
{
  std::string mGroup; // key of its group
  std::string mEndpoint;
  RequestClass mClass = RequestClass::Interactive;
  TimePoint mGrantedAt{};
  TimePoint mReclaimAt{}; // its holder has died by then
};

// A request that waits, or has been answered and not yet fetched its answer.
struct SlotWaiter
{
  std::condition_variable mWake;
  std::string mGroup;
  QueuedRequest mItem;
  std::string mAdapter;
  Millis mMaxHold{ 0 };
  bool mCold = false;
  TimePoint mLastPolled{}; // when its front last asked; silent ones are dropped
  bool mGranted = false;
  bool mRefused = false;
  Failure mFailure;
  uint64_t mEngineSlotId = 0;
  EndpointSpec mEndpoint;
};

struct ModelGroup
{
  std::vector<ServingReplica> mServingReplicas;
  WaitQueue mQueue;
  bool mLoading = false; // a load job of ours is under way
  TimePoint mLoadBegan{};
  double mRate = 0;      // tokens a second, learnt; 0 = not yet
  Millis mLoadTime{ 0 }; // last load, learnt
  HomeZoneState mHome;
};

// The serving with the fewest requests that has a place free; null when none.
ServingReplica*
ModelGroupLeastLoaded(ModelGroup& aGroup);
ServingReplica*
ModelGroupReplicaAt(ModelGroup& aGroup, const std::string& aEndpoint);
// The least urgent class that may have one of its free places. The last one is
// kept for bulletins and another from batch work: requests that are running
// can't be put aside, and on a slow engine a bulletin's time is over before
// one of them ends.
RequestClass
ModelGroupAdmissibleClass(const ServingReplica& aReplica);
// Until it can serve, by the last load's time; 0 when it can.
Millis
ModelGroupReadyIn(const ModelGroup& aGroup, TimePoint aNow);
// aTokens were made in aSeconds at one of aServing's places.
void
ModelGroupRecordRate(ModelGroup& aGroup,
                     const ServingReplica& aReplica,
                     double aTokens,
                     double aSeconds);

} // namespace caraway

#endif
