// Where no server reports its pace, urgent counts and patience change nothing.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/LoadPriority.h"
#include "decide/PlacementPlan.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

std::string
Model(int aIndex)
{
  return "m" + std::to_string(aIndex);
}

LoadPurpose
AnyPurpose()
{
  return static_cast<LoadPurpose>(*rc::gen::inRange(0, 5));
}

double
AnyRate()
{
  return *rc::gen::inRange(0, 300) / 100.0;
}

ServerView
AnyServers()
{
  ServerView servers;
  for (int i = 0; i < 6; ++i) {
    BackendEntry entry;
    entry.mId = "s" + std::to_string(i);
    entry.mService = "e";
    entry.mZone = i % 2 == 0 ? "a" : "b";
    entry.mSlots = 12;
    for (int held = 0; held < 3; ++held) {
      entry.mModels[Model(*rc::gen::inRange(0, 9))];
    }
    entry.mOnDisk.insert(Model(*rc::gen::inRange(0, 10)));
    servers.Put(entry, kStart);
    servers.OnRequestBegan(entry.mId, Model(*rc::gen::inRange(0, 9)), kStart);
  }
  return servers;
}

} // namespace

// Guards against other placements in a deployment whose servers report no pace.
RC_GTEST_PROP(LoadPatienceRandom, WithoutUrgentDemandPlacementIsUnchanged, ())
{
  EngineSpec engine;
  engine.mMemoryMb = 230000;
  PlacementFacts facts;
  facts.mService = "e";
  facts.mZone = "a";
  for (int i = 0; i < 10; ++i) {
    engine.mModels[Model(i)].mMb = 72000;
    facts.mRates[Model(i)] = AnyRate();
  }
  ServerView servers = AnyServers();
  facts.mReplicas = CountReplicas(servers);
  facts.mBusy["s0"] = Millis(*rc::gen::inRange(0, 2000));
  auto before = ChoosePlacement(engine, "m9", servers, facts);
  for (int i = 0; i < 10; ++i) {
    facts.mUrgent[Model(i)] = { AnyRate(), AnyRate(), AnyRate() };
  }
  facts.mZoneReplicas = CountReplicas(servers, {}, "a");
  auto after = ChoosePlacement(
    engine,
    "m9",
    servers,
    facts,
    "",
    PatienceOf(AnyPurpose(), Millis(*rc::gen::inRange(0, 9000))));
  RC_ASSERT(before.has_value() == after.has_value());
  if (before) {
    RC_ASSERT(before->mServer == after->mServer);
    RC_ASSERT(before->mEvict == after->mEvict);
  }
}

// Guards against another order of loads there: the key is the former one.
RC_GTEST_PROP(LoadPatienceRandom, UnstatedPurposeRanksAsBefore, ())
{
  LoadPriorityFacts facts;
  facts.mRate = AnyRate();
  facts.mPriority = *rc::gen::inRange(0, 10);
  facts.mHasWaiters = *rc::gen::arbitrary<bool>();
  facts.mSince = kStart + Millis(*rc::gen::inRange(0, 3000));
  facts.mNeedBy = kStart + Millis(*rc::gen::inRange(0, 3000));
  facts.mLoad = Millis(*rc::gen::inRange(0, 2000));
  facts.mUrgentRate = AnyRate();
  TimePoint now = kStart + Seconds(1);
  LoadPriorityKey former{ !(facts.mHasWaiters && facts.mRate >= kPopularRate),
                          facts.mPriority,
                          now + facts.mLoad > facts.mNeedBy,
                          facts.mSince };
  RC_ASSERT(RankLoad(facts, now) == former);
}

} // namespace caraway
