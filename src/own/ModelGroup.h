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
  std::string mEndpoint;
  RequestClass mClass = RequestClass::Interactive;
  TimePoint mGiven{};
  TimePoint mTakeBack{}; // its holder has died by then
};

// A request waiting in the queue; lives on its thread's stack.
struct ModelWaiter
{
  std::condition_variable mWake;
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
  std::map<uint64_t, ModelWaiter*> mWaiters;
  std::map<uint64_t, ModelPlace> mPlaces;
  bool mLoading = false; // a load job of ours is under way
  TimePoint mLoadBegan{};
  double mRate = 0;      // tokens a second, learnt; 0 = not yet
  Millis mLoadTime{ 0 }; // last load, learnt
};

} // namespace caraway

#endif
