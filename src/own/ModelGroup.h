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
#include "decide/WaitQueue.h"

namespace caraway {

// An engine that serves the model, as this owner uses it.
struct ModelServing
{
  EndpointSpec mEndpoint;
  int mInFlight = 0;
  int mBatchInFlight = 0;
  std::set<std::string> mAdapters; // seen loaded
};

// A place given out and not yet given back.
struct ModelPlace
{
  std::string mGroup; // key of its group
  std::string mEndpoint;
  RequestClass mClass = RequestClass::Interactive;
  TimePoint mGiven{};
  TimePoint mTakeBack{}; // its holder has died by then
};

// A request that waits, or has been answered and not yet fetched its answer.
struct ModelWaiter
{
  std::condition_variable mWake;
  std::string mGroup;
  WaitItem mItem;
  std::string mAdapter;
  Millis mHoldFor{ 0 };
  bool mCold = false;
  TimePoint mAsked{}; // when its front last asked; silent ones are dropped
  bool mGranted = false;
  bool mRefused = false;
  Failure mFailure;
  uint64_t mPlace = 0;
  EndpointSpec mEndpoint;
};

struct ModelGroup
{
  std::vector<ModelServing> mServing;
  WaitQueue mQueue;
  bool mLoading = false; // a load job of ours is under way
  TimePoint mLoadBegan{};
  double mRate = 0;      // tokens a second, learnt; 0 = not yet
  Millis mLoadTime{ 0 }; // last load, learnt
};

} // namespace caraway

#endif
