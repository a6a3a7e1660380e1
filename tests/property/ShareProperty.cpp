#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/TokenBucket.h"
#include "support/ShareModel.h"
#include "support/Window.h"

namespace caraway {

// Guards against a tenant admitted at twice its rate because two instances both
// consider themselves holder of its slot. In any order: renewals are lost, late
// or answered late; members freeze (not scheduled) and resume, are killed,
// restart at their address or join; the platform is out while members promise
// each other; clocks run 2% apart.
RC_GTEST_PROP(ShareLease, NoSlotHasTwoSpenders, ())
{
  RandomChoices choices = RandomChoices::OfLength(1200);
  ShareModel model;
  TimePoint now = TimePoint(Seconds(1000));
  model.AddThreeNodes();
  while (!choices.Ended()) {
    model.Step(choices, now);
    model.CheckOneSpender(now);
  }
}

// Guards against a tenant admitted above its burst: a slot is handed over,
// spent there and handed back, and the first holder, which never saw that,
// continues with its old level. Requests spend under the same faults; the rate
// is 0, so only the burst can ever be spent.
RC_GTEST_PROP(Share, HandedOverTokensAreNeverSpentTwice, ())
{
  RandomChoices choices = RandomChoices::OfLength(1200);
  ShareModel model;
  TimePoint now = TimePoint(Seconds(1000));
  const double burst = 40;
  for (const char* name : { "acme", "globex", "initech" }) {
    model.AddTenant(name, burst);
  }
  model.AddThreeNodes();
  while (!choices.Ended()) {
    model.Step(choices, now);
    model.Spend(choices, now);
    for (const auto& spent : model.mSpent) {
      RC_ASSERT(spent.second <= burst + 1e-6);
    }
  }
}

// Guards against a burst spent twice. A holder hands a slot over and never
// learns that this took effect; the next holder spends, shuts down and hands it
// back. The first must continue with the level that the next one left.
TEST(Share, SlotReturnedUnseenKeepsTheLevelLeft)
{
  TimePoint now = TimePoint(Seconds(1000));
  ShareModel model;
  model.AddTenant("acme", 40);
  model.Add("a0", 1);
  model.Add("a1", 1);
  ShareModelNode& first = model.mNodes[0];
  ShareModelNode& next = model.mNodes[1];
  int slot = ShareSlotsOf("acme")[0];
  model.RenewNow(first, now);
  double before = model.LevelOf(first, "acme", slot, now);
  ASSERT_GT(before, 0);
  model.RenewNow(next, now);
  ShareLeaseUpdate(first.mLease, model.mTable, model.mVersion, now);
  ShareTable handed = model.CloseAndHandOver(first, false, now);
  if (handed.mSlots[slot].mHolder != "n1") {
    slot = ShareSlotsOf("acme")[1];
  }
  ASSERT_EQ(handed.mSlots[slot].mHolder, "n1");
  model.Apply(handed, model.mVersion);
  ShareLeaseUpdate(next.mLease, model.mTable, model.mVersion, now);
  model.RenewNow(next, now);
  ASSERT_EQ(model.LevelOf(next, "acme", slot, now), before);
  next.mBuckets.Find("acme", slot)->Take(15, now);
  model.Apply(model.CloseAndHandOver(next, true, now), model.mVersion);
  model.RenewNow(first, now);
  EXPECT_TRUE(ShareLeaseMaySpend(first.mLease, slot, now));
  EXPECT_EQ(model.LevelOf(first, "acme", slot, now), before - 15);
}

// Guards against half of a tenant's rate refused for good or during a platform
// outage. A holder stops spending a slot before it hands it over; if that
// fails, or another member takes the slot back, it must become spendable again.
// After any faults, rounds without faults make all slots spendable.
RC_GTEST_PROP(ShareLease, EverySlotIsSpendableAfterFaultsEnd, ())
{
  RandomChoices choices = RandomChoices::OfLength(600);
  ShareModel model;
  TimePoint now = TimePoint(Seconds(1000));
  model.AddThreeNodes();
  while (!choices.Ended()) {
    model.Step(choices, now);
  }
  bool anyAlive = model.SettleWithoutFaults(now);
  RC_ASSERT(!anyAlive || model.Spendable(now) == kShareSlots);
}

// Guards against exceeding a tenant's rate and burst over the whole fleet when
// tokens are gathered from several holders whose replies come late or never.
// The burst is reduced by as much as the lifetime of grants can stretch it.
RC_GTEST_PROP(Share, GatheredGrantsStayWithinRateAndBurst, ())
{
  RandomChoices choices = RandomChoices::OfLength(500);
  const double rate = 100;
  const double burst = 60;
  const Millis lifetime(100);
  const int holders = 6;
  const double part = (burst - rate * 0.1) / holders;
  TimePoint now = TimePoint(Seconds(1000));
  std::vector<TokenBucket> buckets;
  for (int i = 0; i < holders; ++i) {
    buckets.emplace_back(rate / holders, part, now);
    buckets.back().Fill(part, now);
  }
  std::vector<WindowSpend> spends;
  while (!choices.Ended()) {
    now += Millis(choices.Below(60));
    double missing = 1 + choices.Below(40);
    double cost = missing;
    TimePoint begun = now;
    TimePoint at = now;
    std::vector<std::pair<int, double>> taken;
    int first = choices.Below(holders);
    for (int i = 0; i < holders && missing > 0; ++i) {
      TokenBucket& bucket = buckets[static_cast<size_t>((first + i) % holders)];
      at += Millis(choices.Below(8));
      double there = std::min(missing, bucket.Level(at));
      if (there > 0 && bucket.Take(there, at) && choices.Below(10) != 0) {
        missing -= there;
        taken.emplace_back((first + i) % holders, there);
      }
      at += Millis(choices.Below(40));
    }
    if (missing <= 1e-9 && at - begun <= lifetime) {
      spends.push_back({ at, cost });
    }
    now = std::max(now, at);
  }
  RC_ASSERT(WindowExcess(spends, rate, burst) < 1e-6);
}

// Guards against losing a zone's part of every rate for the isolation limit of
// an hour. All instances of a zone die at once and others replace them at new
// addresses. The dead members never knew the new ones, so these must assume
// that they are cut off and spending, until they have been missing from the
// platform's instance list for long enough.
TEST(ShareLease, SlotsOfUnlistedMembersAreTakenOver)
{
  for (bool listed : { true, false }) {
    TimePoint now = TimePoint(Seconds(1000));
    ShareLease dead;
    dead.mSelf = "dead";
    dead.mAddress = "a0";
    ShareTable table = ShareLeasePropose(dead, {}, now);
    ShareLeaseRenewed(dead, table, 1, now, now);
    ASSERT_TRUE(ShareLeaseMaySpend(dead, 0, now));

    ShareLease fresh;
    fresh.mSelf = "fresh";
    fresh.mAddress = "a1";
    ShareLeaseUpdate(fresh, table, 1, now);
    for (int64_t version = 2; version < 32; ++version) {
      now += Seconds(1);
      if (!listed) {
        ShareLeaseOnInstanceList(fresh, { "a1" }, now);
      }
      table = ShareLeasePropose(fresh, {}, now);
      ShareLeaseRenewed(fresh, table, version, now, now);
    }
    EXPECT_EQ(ShareLeaseMaySpend(fresh, 0, now), !listed);
    EXPECT_FALSE(ShareLeaseMaySpend(dead, 0, now));
  }
}

// Guards against slots that are handed from member to member in circles, with
// callers refused during each hand-over. Each slot has one target, its partner
// another, and after one round of all members every slot is at its target,
// however many join.
TEST(ShareLease, SlotsReachTheirTargets)
{
  TimePoint now = TimePoint(Seconds(1000));
  ShareTable table;
  int64_t version = 0;
  std::vector<ShareLease> members(20);
  for (size_t count = 1; count <= members.size(); ++count) {
    ShareLease& fresh = members[count - 1];
    fresh.mSelf = "n" + std::to_string(count * 7919);
    fresh.mAddress = "a" + std::to_string(count);
    for (size_t i = 0; i < 2 * count; ++i) {
      ShareLease& member = members[i % count];
      ShareLeaseUpdate(member, table, version, now);
      table = ShareLeasePropose(member, {}, now);
      ShareLeaseRenewed(member, table, ++version, now, now);
      std::map<int, std::map<std::string, double>> levels;
      for (int slot : ShareLeaseSlotsToHandOver(member, false)) {
        ShareLeaseClose(member, { slot });
        levels[slot];
      }
      table = ShareLeaseHandOver(member, levels, false);
      ShareLeaseUpdate(member, table, ++version, now);
    }
    for (int slot = 0; slot < kShareSlots; ++slot) {
      const std::string& holder = table.mSlots[slot].mHolder;
      EXPECT_EQ(holder, ShareTableTarget(table, slot)) << count;
      if (count > 1) {
        EXPECT_NE(holder, table.mSlots[SharePartnerOf(slot)].mHolder) << count;
      }
    }
  }
}

} // namespace caraway
