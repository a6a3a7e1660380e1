#include <gtest/gtest.h>

#include "caraway/PausedClock.h"
#include "share/ShareCodec.h"
#include "share/ShareManager.h"
#include "support/MemoryPlatform.h"

namespace caraway {

namespace {

// A keeper that holds all slots, and a member that has just joined, who isn't
// a process: its port refuses.
class SlotHandOver : public ::testing::Test
{
protected:
  static ConfigSnapshot Config()
  {
    ConfigSnapshot config;
    config.mRevision = 1;
    Tenant& acme = config.mTenants["acme"];
    acme.mName = "acme";
    acme.mRate = 100;
    acme.mBurst = 100;
    return config;
  }
  static ShareSettings Settings()
  {
    ShareSettings settings;
    settings.mZone = "a";
    return settings;
  }

  SlotHandOver()
  {
    mConfig.Adopt(Config());
    mManager.Round();
    mNewMember.mSelf = "i1.0000@127.0.0.1:2";
    mNewMember.mAddress = "127.0.0.1:2";
    ReadTable();
    Join();
  }

  ShareTable StoredTable()
  {
    return ShareTableParse(mPlatform.CurrentObject("shares", "a").mValue);
  }
  void ReadTable()
  {
    PlatformObject object = mPlatform.CurrentObject("shares", "a");
    ShareLeaseUpdate(mNewMember,
                     ShareTableParse(object.mValue),
                     object.mVersion,
                     mClock.Now());
  }
  // The member joins or renews, by a write of its own.
  void Join()
  {
    ShareTable table = ShareLeasePropose(mNewMember, {}, mClock.Now());
    mPlatform.Apply(
      { "shares", "a", mNewMember.mVersion, "w", ShareTableJson(table) });
    ReadTable();
  }
  // The n-th write from now befalls aFault. A round's first write meets the
  // joining, its second renews, its third hands on.
  void FaultAtWrite(int aNumber, const std::function<MemoryFault()>& aFault)
  {
    auto count = std::make_shared<int>(0);
    mPlatform.mOnWrite = [=](const PlatformWrite&) {
      return ++*count == aNumber ? aFault() : MemoryFault::None;
    };
  }

  PausedClock mClock;
  MemoryPlatform mPlatform;
  PeerClient mPeers{ "secret", "a/i0" };
  Members mMembers{ mClock, { "i0", "a", "127.0.0.1:1", false } };
  ConfigHolder mConfig{ mClock };
  ShareLease mNewMember;
  ShareManager mManager{ Settings(),    "i0.0000@127.0.0.1:1",
                         "127.0.0.1:1", mPlatform,
                         mPeers,        mMembers,
                         mConfig,       mClock };
};

} // namespace

// A tenant's half is refused for up to a second: its holder stopped spending,
// to hand it on, and another member's renewal came first. The holder must try
// again at once.
TEST_F(SlotHandOver, RetriesAfterAnotherMembersRenewal)
{
  FaultAtWrite(3, [this] {
    ReadTable();
    Join();
    return MemoryFault::None;
  });
  mManager.Round();
  ShareTable table = StoredTable();
  for (int slot = 0; slot < kShareSlots; ++slot) {
    EXPECT_EQ(table.mSlots[slot].mHolder, ShareTableTarget(table, slot));
  }
  EXPECT_EQ(mManager.SlotsHeld(), 8);
}

// The platform goes out just as slots are handed on. They stay spendable where
// they are for as long as it lasts.
TEST_F(SlotHandOver, SlotsStaySpendableDuringPlatformOutage)
{
  FaultAtWrite(3, [] { return MemoryFault::Refused; });
  mManager.Round();
  EXPECT_EQ(mManager.SlotsHeld(), kShareSlots);
}

// Nobody answers whether the slots were handed on. Until it is known nobody
// spends them, for both might; the next renewal tells, whichever it was.
TEST_F(SlotHandOver, SlotsStayClosedUntilTheOutcomeIsKnown)
{
  FaultAtWrite(3, [] { return MemoryFault::WriteLost; });
  mManager.Round();
  EXPECT_EQ(mManager.SlotsHeld(), 8);
  FaultAtWrite(2, [] { return MemoryFault::AnswerLost; });
  mManager.Round();
  EXPECT_EQ(mManager.SlotsHeld(), 8);
  mManager.Round();
  EXPECT_TRUE(mManager.Settled());
  EXPECT_EQ(mManager.SlotsHeld(), 8);
}

} // namespace caraway
