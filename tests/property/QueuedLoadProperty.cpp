// A model of a zone's load queue over a minute. Callers of rare models are
// refused, as a load takes longer than they wait, and return as told; loads
// that are on time come in steadily and would take all places. Lease holders
// start anew, and some of the load requests are lost.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>
#include <vector>

#include "decide/LoadPriority.h"
#include "decide/QueuedLoad.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };
constexpr Millis kStep{ 100 };
constexpr Millis kDay{ 60000 };
// Callers return without a told time after this one.
constexpr Millis kDefaultReturn{ 500 };
// From then on nothing disturbs the fleet.
constexpr Millis kTroubleEnds{ 20000 };
constexpr int kPriority = 2;

struct Place
{
  int mModel = -1; // -1 = free
  TimePoint mUntil{};
};

struct Caller
{
  int mModel = 0;
  Millis mLeft{ 0 };
  TimePoint mNextAt{};
  bool mServed = false;
};

class ZoneModel
{
public:
  ZoneModel(int aPlaces, Millis aLoad)
    : mPlaces(static_cast<size_t>(aPlaces))
    , mLoad(aLoad)
  {
  }

  // Returns the time until the model is expected to be loaded.
  Millis Ask(int aModel, Millis aLeft, TimePoint aNow)
  {
    auto job = std::find_if(
      mPlaces.begin(), mPlaces.end(), [aModel](const Place& aPlace) {
        return aPlace.mModel == aModel;
      });
    if (job != mPlaces.end()) {
      return std::chrono::duration_cast<Millis>(job->mUntil - aNow);
    }
    auto at = mQueue.try_emplace(aModel, QueuedLoad(aNow)).first;
    at->second.OnAsked(aLeft, aNow);
    Millis expected = NextFree(aNow) + mLoad;
    at->second.OnExpected(expected, aLeft, aNow);
    return expected;
  }
  bool Loaded(int aModel) const { return mLoaded.count(aModel) > 0; }
  void StartAnew() { mQueue.clear(); }
  void Run(TimePoint aNow)
  {
    for (Place& place : mPlaces) {
      if (place.mModel >= 0 && aNow >= place.mUntil) {
        mLoaded.insert(place.mModel);
        place.mModel = -1;
      }
    }
    for (auto at = mQueue.begin(); at != mQueue.end();) {
      at = at->second.GivenUp(aNow) ? mQueue.erase(at) : std::next(at);
    }
    for (Place& place : mPlaces) {
      if (place.mModel < 0 && !mQueue.empty()) {
        place = { First(aNow), aNow + mLoad };
        mQueue.erase(place.mModel);
      }
    }
  }

private:
  Millis NextFree(TimePoint aNow) const
  {
    TimePoint first = TimePoint::max();
    for (const Place& place : mPlaces) {
      first = std::min(first, place.mModel < 0 ? aNow : place.mUntil);
    }
    return std::chrono::duration_cast<Millis>(first - aNow);
  }
  int First(TimePoint aNow) const
  {
    std::vector<std::pair<LoadPriorityKey, int>> ranked;
    for (const auto& [model, queued] : mQueue) {
      LoadPriorityFacts facts;
      facts.mPriority = kPriority;
      facts.mSince = queued.Since();
      facts.mNeedBy = queued.NeedBy();
      facts.mLoad = mLoad;
      facts.mDemand = queued.Demand(aNow);
      ranked.emplace_back(RankLoad(facts, aNow), model);
    }
    return std::min_element(ranked.begin(), ranked.end())->second;
  }

  std::vector<Place> mPlaces;
  Millis mLoad;
  std::map<int, QueuedLoad> mQueue;
  std::set<int> mLoaded;
};

std::vector<Caller>
AnyCallers(Millis aLoad)
{
  std::vector<Caller> callers;
  int rare = *rc::gen::inRange(1, 8);
  for (int model = 0; model < rare; ++model) {
    Millis left{ *rc::gen::inRange<int64_t>(0, aLoad.count()) };
    Millis first{ *rc::gen::inRange(0, 10000) };
    callers.push_back({ model, left, kStart + first });
  }
  return callers;
}

} // namespace

// Guards against models that are asked for all day and never loaded: the load
// is dropped as its callers are refused, or always goes after others.
RC_GTEST_PROP(QueuedLoadRandom, ModelsAskedForThroughTheDayAreServed, ())
{
  int places = *rc::gen::inRange(1, 4);
  Millis load{ *rc::gen::inRange(500, 3000) };
  ZoneModel zone(places, load);
  std::vector<Caller> callers = AnyCallers(load);
  std::set<int64_t> holderStarts;
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    holderStarts.insert(*rc::gen::inRange<int64_t>(0, kTroubleEnds / kStep));
  }
  int lostInTen = *rc::gen::inRange(0, 6);
  int next = 1000; // models of the steady flow
  for (TimePoint now = kStart; now < kStart + kDay; now += kStep) {
    int64_t step = (now - kStart) / kStep;
    bool trouble = now - kStart < kTroubleEnds;
    if (holderStarts.count(step)) {
      zone.StartAnew();
    }
    zone.Ask(next++, load * 2, now);
    for (Caller& caller : callers) {
      if (caller.mServed || now < caller.mNextAt) {
        continue;
      }
      caller.mServed = zone.Loaded(caller.mModel);
      bool lost = trouble && *rc::gen::inRange(0, 10) < lostInTen;
      Millis wait = kDefaultReturn;
      if (!caller.mServed && !lost) {
        wait = zone.Ask(caller.mModel, caller.mLeft, now);
        wait += RetrySpread(wait);
      }
      caller.mNextAt = now + std::max(wait, kDefaultReturn);
    }
    zone.Run(now);
  }
  for (const Caller& caller : callers) {
    RC_ASSERT(caller.mServed);
  }
}

} // namespace caraway
