#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/HomeZone.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

const std::vector<std::string> kZones = { "mendoza-a",
                                          "sanjuan-c",
                                          "uspallata-b" };

// Owner of one model in one zone.
struct Zone
{
  std::string mName;
  HomeZoneState mState;
  bool mServing = false;
  bool mLoading = false;
  bool mWaiting = false; // requests wait for that load
  bool mCut = false;     // from all other zones
};

// Three zones with requests, network cuts, loads that finish or fail, and idle
// replicas that are unloaded.
struct HomeZoneModel
{
  HomeZoneParameters mParameters;
  TimePoint mNow = TimePoint(Seconds(1000));
  std::vector<Zone> mZones;
  int mBusyLoads = 0;

  HomeZoneModel()
  {
    for (const std::string& name : kZones) {
      mZones.push_back({ name, {}, false, false, false, false });
    }
  }
  Zone& Named(const std::string& aName)
  {
    for (Zone& zone : mZones) {
      if (zone.mName == aName) {
        return zone;
      }
    }
    return mZones[0];
  }
  // The home zone as seen by any zone: cuts are noticed only by failed
  // requests.
  Zone& Home() { return Named(HomeZoneOf(kZones, "m")); }
  Zone& NonHome() { return &Home() == &mZones[0] ? mZones[1] : mZones[0]; }

  HomeZoneAction Route(Zone& aZone)
  {
    HomeZoneView view;
    view.mIsHome = &aZone == &Home();
    view.mServing = aZone.mServing;
    view.mWaiting = aZone.mWaiting;
    return HomeZoneRoute(aZone.mState, view, mParameters, mNow);
  }
  void ServeIn(Zone& aZone)
  {
    if (!aZone.mServing) {
      aZone.mLoading = true;
      aZone.mWaiting = true;
    }
  }
  // Sends a request as a front instance does. The home zone doesn't redirect
  // requests that were sent to it.
  void Request(Zone& aZone)
  {
    HomeZoneAction action = Route(aZone);
    if (action == HomeZoneAction::Local) {
      ServeIn(aZone);
      return;
    }
    RC_ASSERT(&aZone != &Home());
    if (action == HomeZoneAction::RemoteAndLoad) {
      aZone.mLoading = true;
      ++mBusyLoads;
    }
    if (aZone.mCut || Home().mCut) {
      HomeZoneFailed(aZone.mState, mParameters, mNow);
      // Later requests are served locally without trying the home zone again.
      RC_ASSERT(Route(aZone) == HomeZoneAction::Local);
      ServeIn(aZone);
      return;
    }
    ServeIn(Home());
  }
  void FinishLoad(Zone& aZone, bool aSucceeded)
  {
    aZone.mServing = aZone.mServing || (aZone.mLoading && aSucceeded);
    aZone.mLoading = false;
    aZone.mWaiting = false;
  }
  int Replicas() const
  {
    int replicas = 0;
    for (const Zone& zone : mZones) {
      replicas += zone.mServing || zone.mLoading ? 1 : 0;
    }
    return replicas;
  }
};

void
ApplyEvent(HomeZoneModel& aModel, int aEvent, Zone& aZone, bool aCuts)
{
  switch (aEvent) {
    case 0:
      aModel.FinishLoad(aZone, true);
      return;
    case 1:
      aModel.FinishLoad(aZone, false);
      return;
    case 2:
      aZone.mServing = false;
      return;
    case 3:
      aZone.mCut = aCuts && !aZone.mCut;
      return;
    default:
      aModel.Request(aZone);
  }
}

} // namespace

// Guards against a replica in each zone, which costs each zone a cold start and
// hours of idle accelerators. First requests arrive in all zones at once, loads
// fail, idle replicas are unloaded; while the zones reach each other and none
// is busy, only one of them loads the model.
RC_GTEST_PROP(HomeZone, OneReplicaForZonesThatReachEachOther, ())
{
  HomeZoneModel model;
  model.mParameters.mBusyThreshold = 1e9;
  RandomChoices choices = RandomChoices::OfLength(300);
  while (!choices.Ended()) {
    Zone& zone = model.mZones[static_cast<size_t>(choices.Below(3))];
    ApplyEvent(model, choices.Below(8), zone, false);
    model.mNow += Millis(choices.Below(250) * 20);
    RC_ASSERT(model.Replicas() <= 1);
  }
}

// Guards against requests that are redirected without end or each wait for a
// home zone that has failed, and against repeated loads. Zones are cut off and
// reconnected at any moment. Each request is served locally or by a home zone
// that doesn't redirect it; a busy zone begins one load a minute at most,
// however its loads end.
RC_GTEST_PROP(HomeZone, EveryRequestIsServedAndBusyLoadsAreLimited, ())
{
  HomeZoneModel model;
  model.mParameters.mBusyThreshold = 5;
  RandomChoices choices = RandomChoices::OfLength(300);
  TimePoint began = model.mNow;
  while (!choices.Ended()) {
    Zone& zone = model.mZones[static_cast<size_t>(choices.Below(3))];
    ApplyEvent(model, choices.Below(10), zone, true);
    model.mNow += Millis(choices.Below(250) * 4);
  }
  auto minutes = (model.mNow - began) / std::chrono::minutes(1) + 1;
  RC_ASSERT(model.mBusyLoads <= 2 * minutes); // two zones aren't the home zone
}

// Guards against a second replica: the local load lasts longer than the home
// zone is avoided, and a request redirected then would make the home zone load
// too.
TEST(HomeZone, ServesLocallyWhileItsLoadIsInProgress)
{
  HomeZoneModel model;
  Zone& zone = model.NonHome();
  model.Home().mCut = true;
  model.Request(zone);
  model.mNow += 2 * model.mParameters.mHomeRetryDelay;
  EXPECT_EQ(model.Route(zone), HomeZoneAction::Local);
}

// Guards against a zone that keeps a replica of its own for good after a cut:
// once it reaches the home zone again, it returns to it when its own idle
// replica is unloaded.
TEST(HomeZone, ReturnsToHomeZoneAfterItsReplicaIsGone)
{
  HomeZoneModel model;
  Zone& zone = model.NonHome();
  model.Home().mCut = true;
  model.Request(zone);
  model.FinishLoad(zone, true);
  model.Home().mCut = false;
  model.mNow += model.mParameters.mHomeRetryDelay;
  EXPECT_EQ(model.Route(zone), HomeZoneAction::Local); // has a warm replica
  zone.mServing = false;
  EXPECT_EQ(model.Route(zone), HomeZoneAction::Remote);
}

} // namespace caraway
