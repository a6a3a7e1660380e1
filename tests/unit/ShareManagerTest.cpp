#include <atomic>
#include <gtest/gtest.h>
#include <map>
#include <thread>
#include <vector>

#include "caraway/PausedClock.h"
#include "share/ShareClient.h"
#include "share/ShareCodec.h"
#include "share/ShareManager.h"
#include "support/MemoryPlatform.h"

namespace caraway {

namespace {

// A manager that holds all slots, and a member that has just joined. The member
// has no process: its port refuses connections.
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
    settings.mRenewBatchWait = Millis(20);
    return settings;
  }

  SlotHandOver()
  {
    mConfig.Adopt(Config());
    mManager.RenewAndBalance();
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
  // The new member writes the table to join or renew.
  void Join()
  {
    ShareTable table = ShareLeasePropose(mNewMember, {}, mClock.Now());
    mPlatform.Apply(
      { "shares", "a", mNewMember.mVersion, "w", ShareTableJson(table) });
    ReadTable();
  }
  // Injects aFault into the n-th write from now. The first write of a round
  // conflicts with the join, the second renews, the third hands slots over.
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

// Guards against refusing half of a tenant's rate for up to a second: the
// holder has stopped spending to hand slots over, and another member's renewal
// comes first. The holder must retry at once.
TEST_F(SlotHandOver, RetriesAfterAnotherMembersRenewal)
{
  FaultAtWrite(3, [this] {
    ReadTable();
    Join();
    return MemoryFault::None;
  });
  mManager.RenewAndBalance();
  ShareTable table = StoredTable();
  for (int slot = 0; slot < kShareSlots; ++slot) {
    EXPECT_EQ(table.mSlots[slot].mHolder, ShareTableTarget(table, slot));
  }
  EXPECT_EQ(mManager.SlotsHeld(), 8);
}

// Guards against slots that nobody can spend during a platform outage that
// begins in the middle of a hand-over. They stay spendable at their holder.
TEST_F(SlotHandOver, SlotsStaySpendableDuringPlatformOutage)
{
  FaultAtWrite(3, [] { return MemoryFault::Refused; });
  mManager.RenewAndBalance();
  EXPECT_EQ(mManager.SlotsHeld(), kShareSlots);
}

// Guards against slots spent twice when the outcome of a hand-over is unknown:
// nobody spends them until the next renewal shows the outcome.
TEST_F(SlotHandOver, SlotsStayClosedUntilTheOutcomeIsKnown)
{
  FaultAtWrite(3, [] { return MemoryFault::WriteLost; });
  mManager.RenewAndBalance();
  EXPECT_EQ(mManager.SlotsHeld(), 8);
  FaultAtWrite(2, [] { return MemoryFault::AnswerLost; });
  mManager.RenewAndBalance();
  EXPECT_EQ(mManager.SlotsHeld(), 8);
  mManager.RenewAndBalance();
  EXPECT_TRUE(mManager.Balanced());
  EXPECT_EQ(mManager.SlotsHeld(), 8);
}

namespace {

// A manager that renews the members of its zone. Each call is a member's.
class Renewals : public SlotHandOver
{
protected:
  Renewals()
  {
    mManager.AddMethods([this](const char* aName, PeerMethod aMethod) {
      mMethods[aName] = std::move(aMethod);
    });
  }
  bool Renew(const std::string& aMember)
  {
    Json::Value params;
    params["member"] = aMember;
    return mMethods["share.renew"](params)["renewed"].asBool();
  }

  std::map<std::string, PeerMethod> mMethods;
};

} // namespace

// Guards against memory that grows with each instance that ever renewed here.
TEST_F(Renewals, MembersOfLongAgoAreForgotten)
{
  for (int i = 0; i < 50; ++i) {
    EXPECT_TRUE(Renew("i2.000" + std::to_string(i) + "@127.0.0.1:3"));
  }
  EXPECT_EQ(0u, mManager.RenewalsKept());
}

// Guards against a member that takes the success of another write for its own
// renewal, and spends tokens under a lease that has expired.
TEST_F(Renewals, EachMemberGetsTheResultOfItsOwnWrite)
{
  const std::string& member = mNewMember.mSelf;
  EXPECT_TRUE(Renew(member));
  FaultAtWrite(1, [] { return MemoryFault::Refused; });
  EXPECT_FALSE(Renew(member));
  EXPECT_TRUE(Renew("i3.0000@127.0.0.1:3"));
  FaultAtWrite(1, [] { return MemoryFault::Refused; });
  EXPECT_FALSE(Renew(member));
}

// Guards against a renewal that waits alone: members that ask while a write is
// prepared are renewed by it.
TEST_F(Renewals, MembersThatAskTogetherShareOneWrite)
{
  std::atomic<int> writes{ 0 };
  mPlatform.mOnWrite = [&](const PlatformWrite&) {
    ++writes;
    return MemoryFault::None;
  };
  std::atomic<int> renewed{ 0 };
  std::vector<std::thread> members;
  for (int i = 0; i < 8; ++i) {
    members.emplace_back([this, i, &renewed] {
      renewed += Renew("i4.000" + std::to_string(i) + "@127.0.0.1:3") ? 1 : 0;
    });
  }
  for (std::thread& member : members) {
    member.join();
  }
  EXPECT_EQ(8, renewed);
  EXPECT_GT(8, writes);
  EXPECT_EQ(0u, mManager.RenewalsKept());
}

// Guards against memory that grows with each holder that ever ended without a
// word, in a zone whose instances are replaced every day.
TEST_F(SlotHandOver, HoldersThatEndedAreForgotten)
{
  ShareClient client(Settings(), { "a" }, mManager, mPeers, mMembers, mClock);
  Tenant tenant = mConfig.Current()->mTenants.at("acme");
  for (int i = 0; i < 20; ++i) {
    ShareTable table = StoredTable();
    for (ShareSlot& slot : table.mSlots) {
      slot.mHolder = "i5.000" + std::to_string(i) + "@127.0.0.1:2";
    }
    mManager.UpdateTable(ShareTableJson(table), 1000 + i);
    mClock.Advance(Seconds(5));
    Outcome([&] { return client.Take(tenant, 1, mClock.Now()); });
  }
  EXPECT_EQ(1u, client.SilentHolders());
}

} // namespace caraway
