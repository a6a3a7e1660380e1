#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/PlacementPlan.h"

namespace caraway {

// Guards against other placements in a deployment whose servers report no pace.
RC_GTEST_PROP(LoadPatienceRandom, WithoutUrgentDemandPlacementIsUnchanged, ())
{
  auto number = [](int aMax) { return *rc::gen::inRange(0, aMax); };
  auto model = [&] { return "m" + std::to_string(number(10)); };
  TimePoint start{ Seconds(1000) };
  EngineSpec engine;
  engine.mMemoryMb = 230000;
  PlacementFacts facts;
  facts.mService = "e";
  ServerView servers;
  for (int i = 0; i < 10; ++i) {
    std::string id = std::to_string(i);
    engine.mModels["m" + id].mMb = 72000;
    facts.mRates["m" + id] = number(300) / 100.0;
    facts.mBusy[id] = Millis(number(2000));
    BackendEntry entry;
    entry.mId = id;
    entry.mService = "e";
    entry.mModels = { { model(), {} }, { model(), {} }, { model(), {} } };
    entry.mOnDisk = { model(), model() };
    servers.Put(entry, start);
    servers.OnRequestBegan(id, model());
  }
  facts.mReplicas = CountReplicas(servers);
  auto before = ChoosePlacement(engine, "m9", servers, facts);
  for (int i = 0; i < 5; ++i) {
    facts.mUrgent[model()] = { 1.0 * number(9), 1.0 * number(9), 1 };
  }
  auto purpose = static_cast<LoadPurpose>(number(5));
  auto after = ChoosePlacement(engine,
                               "m9",
                               servers,
                               facts,
                               "",
                               PatienceOf(purpose, Millis(number(9000))));
  RC_ASSERT(before.has_value() == after.has_value());
  RC_ASSERT(!before || (before->mServer == after->mServer &&
                        before->mEvict == after->mEvict));
}

} // namespace caraway
