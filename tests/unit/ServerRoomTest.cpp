// Room that models take on a server which several configurations have named.

#include <gtest/gtest.h>

#include "decide/ServerRoom.h"

namespace caraway {

namespace {

EngineSpec
Engine(const std::map<std::string, double>& aModels)
{
  EngineSpec engine;
  engine.mMemoryMb = 300;
  engine.mAdapterSlots = 8;
  for (const auto& [name, mb] : aModels) {
    engine.mModels[name].mMb = mb;
    engine.mModels[name].mAdapterMb = 1;
  }
  return engine;
}

} // namespace

// Guards against a fourth model beside three, one of which was left out of the
// configuration or made smaller there, while the server holds it as it was.
TEST(ServerRoom, HeldModelsKeepTheSizeThatTheyWereLoadedWith)
{
  EngineSpec former = Engine({ { "m0", 90 }, { "m1", 90 }, { "m2", 100 } });
  EngineSpec engine = Engine({ { "m0", 90 }, { "m1", 40 }, { "m3", 90 } });
  engine.KeepSizes(former);
  HeldModels held = { { "m0", {} }, { "m1", {} }, { "m2", { "a" } } };
  EXPECT_EQ(281, RoomUsedBy(engine, held).mMb);
  EXPECT_FALSE(FitsBeside(engine, held, "m3", ""));
  EngineSpec next = Engine({ { "m0", 90 }, { "m3", 90 } });
  next.KeepSizes(engine);
  EXPECT_EQ(281, RoomUsedBy(next, held).mMb);
}

// Guards against a held model that takes no room because no configuration named
// it here, as when another instance has a newer one in force.
TEST(ServerRoom, UnknownModelTakesAsMuchAsTheLargest)
{
  EngineSpec engine = Engine({ { "m0", 90 }, { "m1", 60 } });
  EXPECT_EQ(91, RoomUsedBy(engine, { { "other", { "a" } } }).mMb);
}

} // namespace caraway
