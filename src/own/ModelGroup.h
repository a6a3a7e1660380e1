// ModelGroup.h: an owner's state of one model in its zone.
#ifndef caraway_own_ModelGroup_h
#define caraway_own_ModelGroup_h

#include <condition_variable>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caraway/EndpointSpec.h"
#include "caraway/Failure.h"
#include "decide/HomeZone.h"
#include "decide/WaitQueue.h"

namespace caraway {

// A replica of the model at an engine, with the requests of this owner.
struct ServingReplica
{
  EndpointSpec mEndpoint;
  int mInFlight = 0;
  int mBatchInFlight = 0;
  std::set<std::string> mAdapters; // known to be loaded
};

// An engine slot granted and not yet released.
struct HeldEngineSlot
{
  std::string mGroup; // key of its group
  std::string mEndpoint;
  RequestClass mClass = RequestClass::Interactive;
  TimePoint mGrantedAt{};
  TimePoint mReclaimAt{}; // holder presumed dead from then on
  std::string mCall;      // see CallName()
};

// A request that waits, or whose result hasn't been fetched yet.
struct SlotWaiter
{
  std::condition_variable mWake;
  std::string mGroup;
  QueuedRequest mItem;
  std::string mAdapter;
  Millis mMaxHold{ 0 };
  bool mCold = false;
  TimePoint mLastPolled{}; // by its front instance; see kPollTimeout
  bool mGranted = false;
  bool mRefused = false;
  Failure mFailure;
  uint64_t mEngineSlotId = 0;
  EndpointSpec mEndpoint;
};

struct ModelGroup
{
  // If set, its replicas are at engines of this software version only.
  std::optional<std::string> mSoftware;
  std::vector<ServingReplica> mServingReplicas;
  WaitQueue mQueue;
  bool mLoading = false; // a load job of this owner is in progress
  TimePoint mLoadBegan{};
  double mRate = 0;      // tokens a second, observed; 0 = unknown
  Millis mLoadTime{ 0 }; // of the last load
  HomeZoneState mHome;
};

// The replica with a free slot and the fewest requests; null when none.
ServingReplica*
ModelGroupLeastLoaded(ModelGroup& aGroup);
ServingReplica*
ModelGroupReplicaAt(ModelGroup& aGroup, const std::string& aEndpoint);
// The least urgent class that may use a free slot. The last slot is reserved
// for bulletins and another is kept from batch work: running requests can't be
// preempted, and on a slow engine none of them ends before a bulletin's
// deadline.
RequestClass
ModelGroupAdmissibleClass(const ServingReplica& aReplica);
// Expected time until the model is ready, by the duration of its last load; 0
// if it is.
Millis
ModelGroupReadyIn(const ModelGroup& aGroup, TimePoint aNow);
// Updates mRate: a slot of aReplica generated aTokens in aSeconds.
void
ModelGroupRecordRate(ModelGroup& aGroup,
                     const ServingReplica& aReplica,
                     double aTokens,
                     double aSeconds);

} // namespace caraway

#endif
