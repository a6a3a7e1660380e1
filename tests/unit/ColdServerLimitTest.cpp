// Cold servers: the split of their permits among instances, and the choice of a
// server while some are cold.

#include <gtest/gtest.h>

#include "decide/ServerView.h"

namespace caraway {

namespace {

const ColdSpec kSpec{ Millis(3000), 8.2 };
const ColdLimitSettings kNoSettings;
const TimePoint kStart{ Seconds(100000) };

ColdLimitSettings
Self(const std::string& aName)
{
  return { aName, "a", 1.5, 5 };
}

// An instance that joined long ago.
void
Join(ColdServerLimit& aLimit, const InstancesByZone& aInstances)
{
  for (TimePoint at = kStart - Seconds(15); at < kStart; at += Seconds(1)) {
    aLimit.OnRunning(at);
    aLimit.OnListed(aInstances, at, at);
    aLimit.OnCounted(at);
  }
}

int
SpendAll(ColdServerLimit& aLimit, const std::string& aZone, TimePoint aNow)
{
  aLimit.OnRunning(aNow);
  int spent = 0;
  for (; spent < 100; ++spent) {
    auto next = aLimit.NextPermit("s", aZone, kSpec.mPerSecond, aNow);
    if (!next || *next > aNow) {
      break;
    }
    aLimit.Spend("s", aNow);
  }
  return spent;
}

BackendEntry
Entry(const std::string& aId, const std::string& aZone, int64_t aStartTime)
{
  BackendEntry entry;
  entry.mId = aId;
  entry.mService = "e";
  entry.mZone = aZone;
  entry.mSlots = 100;
  entry.mStartTime = aStartTime;
  return entry;
}

ServerChoice
ChooseAt(ServerView& aView, TimePoint aNow)
{
  ServerRequirements requirements;
  requirements.mService = "e";
  requirements.mZone = "a";
  std::mt19937 random(1);
  return aView.Choose(requirements, aNow, random);
}

} // namespace

// Guards against permits that are lost or doubled in the division, and against
// a bound that two groups with different lists exceed.
TEST(ColdServerLimit, PermitsAreDividedWithoutRemainder)
{
  EXPECT_EQ(8, ColdPermits(8.2, 1.5, 5));
  EXPECT_EQ(4, ColdPermits(8.2, kNoSettings.mOverage, kNoSettings.mSlack));
  EXPECT_EQ(0, ColdPermits(0.9, 1.5, 5));
  std::vector<std::string> members;
  for (int count = 1; count <= 20; ++count) {
    members.push_back("i" + std::to_string(count));
    int total = 0;
    for (const std::string& member : members) {
      total += ColdShare(members, member, "s", 8);
    }
    EXPECT_EQ(8, total) << count;
  }
  EXPECT_EQ(0, ColdShare(members, "other", "s", 8));
}

// Guards against requests of zones that have no part in a server's permits.
TEST(ColdServerLimit, OtherZonesSendOnlyWhereAZoneHasNoInstance)
{
  InstancesByZone instances{ { "a", { "i1", "i3" } }, { "b", { "i2", "i4" } } };
  ColdServerLimit fresh;
  fresh.Configure(Self("i1"));
  EXPECT_EQ(0, SpendAll(fresh, "a", kStart)); // no list yet
  fresh.OnListed(instances, kStart, kStart);
  fresh.OnCounted(kStart);
  EXPECT_EQ(0, SpendAll(fresh, "a", kStart));
  // Zone b may not know it yet.
  EXPECT_EQ(0, SpendAll(fresh, "c", kStart + Seconds(1)));
  EXPECT_EQ(4, SpendAll(fresh, "a", kStart + Seconds(1)));
  ColdServerLimit limit;
  limit.Configure(Self("i1"));
  Join(limit, instances);
  EXPECT_EQ(0, SpendAll(limit, "b", kStart));
  EXPECT_EQ(2, SpendAll(limit, "c", kStart));
}

// Guards against more than the permits in any second, and against a window that
// stays closed.
TEST(ColdServerLimit, WindowSlides)
{
  ColdServerLimit limit;
  limit.Configure(Self("i1"));
  Join(limit, { { "a", { "i1", "i2" } } });
  EXPECT_EQ(4, SpendAll(limit, "a", kStart));
  EXPECT_EQ(0, SpendAll(limit, "a", kStart + Millis(999)));
  EXPECT_EQ(kStart + Seconds(1),
            limit.NextPermit("s", "a", 8.2, kStart + Millis(999)));
  EXPECT_EQ(4, SpendAll(limit, "a", kStart + Millis(1000)));
  limit.OnNewcomer("i3", kStart + Millis(1500));
  EXPECT_GE(3, SpendAll(limit, "a", kStart + Millis(2000)));
}

// Guards against an instance that was stopped, forgotten by the others
// meanwhile, and uses its former part as it goes on.
TEST(ColdServerLimit, StandstillEndsThePart)
{
  ColdServerLimit limit;
  limit.Configure(Self("i1"));
  Join(limit, { { "a", { "i1", "i2" } } });
  TimePoint wakes = kStart + Seconds(10);
  EXPECT_FALSE(limit.NextPermit("s", "a", 8.2, wakes));
  EXPECT_EQ(0, SpendAll(limit, "a", wakes));
  limit.OnListed(
    { { "a", { "i1", "i2" } } }, kStart, wakes); // requested before
  limit.OnCounted(wakes);
  EXPECT_EQ(0, SpendAll(limit, "a", wakes + Seconds(1)));
  limit.OnListed({ { "a", { "i1", "i2" } } }, wakes, wakes + Seconds(1));
  limit.OnCounted(wakes + Seconds(1));
  EXPECT_EQ(4, SpendAll(limit, "a", wakes + Seconds(2)));
}

// Guards against cold servers that are preferred, or get a request without a
// permit; and against a start that is taken for a change of the entry.
TEST(ColdServers, WarmOnesArePreferredAndPermitsAreKept)
{
  ServerView view;
  view.SetColdSpecs({ { "e", kSpec } });
  view.ColdLimit().Configure(Self("i1"));
  Join(view.ColdLimit(), { { "a", { "i1" } } });
  view.Put(Entry("s", "a", 1), kStart);
  view.Put(Entry("far", "b", 1), kStart);
  EXPECT_EQ("s", ChooseAt(view, kStart).mBackend->mEntry.mId);
  view.Put(Entry("s", "a", 2), kStart);
  EXPECT_EQ("far", ChooseAt(view, kStart).mBackend->mEntry.mId);
  view.Remove("far", kStart);
  for (int i = 0; i < 8; ++i) {
    ASSERT_TRUE(ChooseAt(view, kStart).mBackend);
    view.OnRequestBegan("s", "", kStart);
  }
  ServerChoice choice = ChooseAt(view, kStart);
  EXPECT_FALSE(choice.mBackend);
  EXPECT_EQ(kStart + Seconds(1), choice.mColdOpensAt);
  EXPECT_TRUE(ChooseAt(view, kStart + Seconds(3)).mBackend);
}

// Guards against an answer from before that ends what became known since, and
// against an assumption that the server can't correct.
TEST(ColdServers, NewestStatementHolds)
{
  ServerView view;
  view.SetColdSpecs({ { "e", kSpec } });
  view.Put(Entry("s", "a", 1), kStart);
  const Backend& server = *view.Find("s");
  view.AssumeCold("b", kStart);
  EXPECT_EQ(0u, view.ColdServers(kStart));
  view.AssumeCold("a", kStart);
  view.OnColdReport("s", Millis(0), kStart - Millis(1), kStart);
  EXPECT_EQ(kStart + Seconds(3), view.ColdUntil(server));
  view.OnColdReport("s", Millis(50), kStart, kStart);
  EXPECT_EQ(kStart + Millis(50), view.ColdUntil(server));
  BackendEntry entry = Entry("s", "a", 1);
  entry.mRevision = 5;
  entry.mColdLeft = Millis(500);
  view.Put(entry, kStart);
  view.Put(entry, kStart + Seconds(1)); // the same entry, read again
  EXPECT_EQ(kStart + Millis(500), view.ColdUntil(server));
}

} // namespace caraway
