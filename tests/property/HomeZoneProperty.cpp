#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/HomeZone.h"
#include "support/RandomChoices.h"

namespace caraway {

namespace {

const std::vector<std::string> kZones = { "mendoza-a",
                                          "sanjuan-c",
                                          "uspallata-b" };

// One model's owner in one zone.
struct Zone
{
  std::string mName;
  HomeZoneState mState;
  bool mServing = false;
  bool mLoading = false;
  bool mWaiting = false; // for that load
  bool mCut = false;     // from all others
};

// Three zones, requests in each, cuts, loads that end or fail, replicas that
// idle out.
struct World
{
  HomeZoneParameters mParameters;
  TimePoint mNow = TimePoint(Seconds(1000));
  std::vector<Zone> mZones;
  int mBusyLoads = 0;

  World()
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
  // Whom a zone holds for the home: cuts are noticed by the requests alone.
  Zone& Home() { return Named(HomeZoneOf(kZones, "m")); }
  Zone& NonHome() { return &Home() == &mZones[0] ? mZones[1] : mZones[0]; }

  HomeZoneAction Ask(Zone& aZone)
  {
    HomeZoneView view;
    view.mIsHome = &aZone == &Home();
    view.mServing = aZone.mServing;
    view.mWaiting = aZone.mWaiting;
    return HomeZoneRoute(aZone.mState, view, mParameters, mNow);
  }
  void ServeHere(Zone& aZone)
  {
    if (!aZone.mServing) {
      aZone.mLoading = true;
      aZone.mWaiting = true;
    }
  }
  // As a front does it. The home doesn't send on what was sent to it.
  void Request(Zone& aZone)
  {
    HomeZoneAction action = Ask(aZone);
    if (action == HomeZoneAction::Local) {
      ServeHere(aZone);
      return;
    }
    RC_ASSERT(&aZone != &Home());
    if (action == HomeZoneAction::RemoteAndLoad) {
      aZone.mLoading = true;
      ++mBusyLoads;
    }
    if (aZone.mCut || Home().mCut) {
      HomeZoneFailed(aZone.mState, mParameters, mNow);
      // From now on its requests stay, without trying the home each time.
      RC_ASSERT(Ask(aZone) == HomeZoneAction::Local);
      ServeHere(aZone);
      return;
    }
    ServeHere(Home());
  }
  void End(Zone& aZone, bool aWell)
  {
    aZone.mServing = aZone.mServing || (aZone.mLoading && aWell);
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
ApplyEvent(World& aWorld, int aWhat, Zone& aZone, bool aCuts)
{
  switch (aWhat) {
    case 0:
      aWorld.End(aZone, true);
      return;
    case 1:
      aWorld.End(aZone, false);
      return;
    case 2:
      aZone.mServing = false;
      return;
    case 3:
      aZone.mCut = aCuts && !aZone.mCut;
      return;
    default:
      aWorld.Request(aZone);
  }
}

} // namespace

// First requests burst at many instances of all zones, loads fail, replicas
// idle out. As long as the zones reach each other and none is busy, only one
// of them ever loads: else each zone pays the cold start and the idle hours.
RC_GTEST_PROP(HomeZone, OneReplicaForZonesThatReachEachOther, ())
{
  World world;
  world.mParameters.mBusyThreshold = 1e9;
  RandomChoices tape = RandomChoices::OfLength(300);
  while (!tape.Ended()) {
    Zone& zone = world.mZones[static_cast<size_t>(tape.Below(3))];
    ApplyEvent(world, tape.Below(8), zone, false);
    world.mNow += Millis(tape.Below(250) * 20);
    RC_ASSERT(world.Replicas() <= 1);
  }
}

// Zones are cut off and come back at any moment. Each request is served: here,
// or at a home that takes it without sending it on; after a home that failed,
// those that follow don't wait for it again. A busy zone begins one load a
// minute at most, however its loads end.
RC_GTEST_PROP(HomeZone, AlwaysSomewhereAndLoadsAreFew, ())
{
  World world;
  world.mParameters.mBusyThreshold = 5;
  RandomChoices tape = RandomChoices::OfLength(300);
  TimePoint began = world.mNow;
  while (!tape.Ended()) {
    Zone& zone = world.mZones[static_cast<size_t>(tape.Below(3))];
    ApplyEvent(world, tape.Below(10), zone, true);
    world.mNow += Millis(tape.Below(250) * 4);
  }
  auto minutes = (world.mNow - began) / std::chrono::minutes(1) + 1;
  RC_ASSERT(world.mBusyLoads <= 2 * minutes); // two zones aren't the home
}

// The load that took the home's place lasts longer than the home is avoided.
// Sent away now, a request would have the home load a second replica.
TEST(HomeZone, WaitsForTheLoadThatIsUnderWay)
{
  World world;
  Zone& away = world.NonHome();
  world.Home().mCut = true;
  world.Request(away);
  world.mNow += 2 * world.mParameters.mHomeRetryDelay;
  EXPECT_EQ(world.Ask(away), HomeZoneAction::Local);
}

// A zone that reaches the home again goes back to it, once its own replica has
// idled out.
TEST(HomeZone, BackAfterTheHomeFailed)
{
  World world;
  Zone& away = world.NonHome();
  world.Home().mCut = true;
  world.Request(away);
  world.End(away, true);
  world.Home().mCut = false;
  world.mNow += world.mParameters.mHomeRetryDelay;
  EXPECT_EQ(world.Ask(away), HomeZoneAction::Local); // a warm replica is here
  away.mServing = false;
  EXPECT_EQ(world.Ask(away), HomeZoneAction::Remote);
}

} // namespace caraway
