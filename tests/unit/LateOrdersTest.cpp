// Room for orders of a server's former life.

#include <gtest/gtest.h>

#include "decide/LateOrders.h"

namespace caraway {

namespace {

constexpr int64_t kFormer = 1;  // start of the server's former life
constexpr int64_t kCurrent = 2; // start of its current one
constexpr TimePoint kNow{ Seconds(100) };

EngineSpec
Engine()
{
  EngineSpec engine;
  engine.mMemoryMb = 300;
  engine.mAdapterSlots = 8;
  for (const char* name : { "m0", "m1", "m2" }) {
    engine.mModels[name].mMb = 100;
    engine.mModels[name].mAdapterMb = 1;
  }
  engine.mModels["large"].mMb = 120;
  return engine;
}

ModelOrder
LoadAt(int64_t aCount,
       const std::string& aModel,
       const std::string& aAdapter = "")
{
  return { true, aModel, aAdapter, aCount, "i0", 1 };
}

RoomUse
RoomAt(const LateOrders& aOrders,
       int64_t aCount,
       const HeldModels& aHeld = {},
       int64_t aStartTime = kCurrent)
{
  return aOrders.RoomAt(Engine(), aHeld, aStartTime, aCount, kNow);
}

} // namespace

// Guards against room kept for orders of the server's own life, whose count has
// passed or names the content that they were decided by.
TEST(LateOrders, OrdersOfTheSameLifeNeedNoRoom)
{
  LateOrders orders;
  orders.OnSent(LoadAt(4, "m0"), kCurrent, kNow);
  EXPECT_EQ(0, RoomAt(orders, 4).mMb);
  EXPECT_EQ(100, RoomAt(orders, 4, {}, kCurrent + 1).mMb);
}

// Guards against servers that are left half empty: of several orders at one
// count a server accepts one, and none before its count comes to it.
TEST(LateOrders, RoomIsThatOfOneOrderForEachCountInARow)
{
  LateOrders orders;
  orders.OnSent(LoadAt(4, "m0"), kFormer, kNow);
  orders.OnSent(LoadAt(4, "large"), kFormer, kNow);
  orders.OnSent(LoadAt(5, "m1", "a1"), kFormer, kNow);
  orders.OnSent(LoadAt(7, "m2"), kFormer, kNow);
  EXPECT_EQ(0, RoomAt(orders, 3).mMb);
  EXPECT_EQ(121, RoomAt(orders, 4).mMb);
  EXPECT_EQ(1, RoomAt(orders, 4).mAdapters);
  EXPECT_EQ(1, RoomAt(orders, 5).mMb);
  EXPECT_EQ(0, RoomAt(orders, 6).mMb);
  EXPECT_EQ(100, RoomAt(orders, 7).mMb);
}

TEST(LateOrders, ModelThatIsHeldNeedsNoRoom)
{
  LateOrders orders;
  orders.OnSent(LoadAt(4, "m0"), kFormer, kNow);
  EXPECT_EQ(0, RoomAt(orders, 4, { { "m0", {} } }).mMb);
}

// Guards against room kept for orders that are done with, and against an answer
// to one sending of an order that is taken for the answer to another.
TEST(LateOrders, AnsweredAndOldOrdersNeedNoRoom)
{
  LateOrders orders;
  orders.OnSent(LoadAt(4, "m0"), kFormer, kNow);
  orders.OnSent(LoadAt(4, "m0"), kFormer, kNow);
  orders.OnAnswered(LoadAt(4, "m0"), kFormer);
  EXPECT_EQ(100, RoomAt(orders, 4).mMb);
  orders.OnAnswered(LoadAt(4, "m0"), kFormer);
  EXPECT_EQ(0, RoomAt(orders, 4).mMb);
  orders.OnSent(LoadAt(4, "m0"), kFormer, kNow - LateOrders::kMaxOrderDelay);
  EXPECT_EQ(0, RoomAt(orders, 4).mMb);
}

// Guards against an order that waits for the store though only one of it and
// those before can be carried out, and against one that doesn't wait.
TEST(LateOrders, OrdersAtOtherCountsThatBecameKnownSince)
{
  LateOrders orders;
  orders.OnSent(LoadAt(4, "m0"), kCurrent, kNow);
  EXPECT_FALSE(orders.HasOthersSince(kNow, kCurrent, 4));
  EXPECT_TRUE(orders.HasOthersSince(kNow, kCurrent, 5));
  EXPECT_TRUE(orders.HasOthersSince(kNow, kCurrent + 1, 4));
  EXPECT_FALSE(orders.HasOthersSince(kNow + Millis(1), kCurrent, 5));
  orders.OnAnswered(LoadAt(4, "m0"), kCurrent);
  EXPECT_FALSE(orders.HasOthersSince(kNow, kCurrent, 5));
}

} // namespace caraway
