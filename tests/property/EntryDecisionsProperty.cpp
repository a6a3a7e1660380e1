// The entry instance's decisions on a paused clock: retry budgets, load limits,
// placement, and the choice of a server.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decide/DemandTracker.h"
#include "decide/LoadClaims.h"
#include "decide/LoadPriority.h"
#include "decide/PlacementPlan.h"
#include "decide/ServerRetryBudget.h"
#include "decide/ServerRoom.h"
#include "decide/ServerView.h"
#include "decide/StoreLoadTracker.h"
#include "decide/ZoneChoice.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

BackendEntry
Entry(const std::string& aId,
      const std::string& aZone,
      const std::vector<std::string>& aModels,
      const std::vector<std::string>& aOnDisk = {})
{
  BackendEntry entry;
  entry.mId = aId;
  entry.mService = "e";
  entry.mZone = aZone;
  entry.mSlots = 32;
  for (const std::string& model : aModels) {
    entry.mModels[model];
  }
  entry.mOnDisk.insert(aOnDisk.begin(), aOnDisk.end());
  return entry;
}

EngineSpec
Engine()
{
  EngineSpec engine;
  engine.mMemoryMb = 230000;
  engine.mAdapterSlots = 8;
  for (int i = 0; i < 106; ++i) {
    ModelWeights model;
    model.mMb = 72700;
    engine.mModels["m" + std::to_string(i)] = model;
  }
  return engine;
}

} // namespace

// Guards against a forecast after the time at which the budget allows a retry:
// the caller would be refused for nothing. Three requests a second.
TEST(ServerRetryBudget, ForetoldTimeIsNotLate)
{
  ServerRetryBudget budget({ 0.2, 0, Seconds(10) });
  std::optional<TimePoint> foretold = budget.NextAt("e", 80, kStart);
  EXPECT_FALSE(foretold);
  for (TimePoint now = kStart; now < kStart + Seconds(99); now += Millis(333)) {
    budget.OnRequest("e", now);
    if (now > kStart + Seconds(10) && budget.Spend("e", 80, now)) {
      EXPECT_LE(foretold, now);
    }
    foretold = budget.NextAt("e", 80, now);
  }
}

// Guards against retries that keep failing servers overloaded: over instances
// with independent traffic, they stay within ratio x requests + slack in every
// window.
RC_GTEST_PROP(ServerRetryBudgetRandom,
              AllInstancesTogetherStayWithinTheLimit,
              ())
{
  constexpr int kInstances = 4;
  ServerRetryLimits limits{ 0.2, 40, Seconds(10) };
  std::vector<ServerRetryBudget> budgets(kInstances, ServerRetryBudget(limits));
  std::vector<TimePoint> requests;
  std::vector<TimePoint> retries;
  TimePoint now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += Millis(*rc::gen::inRange(0, 120));
    auto who = *rc::gen::inRange<size_t>(0, kInstances);
    if (*rc::gen::inRange(0, 3) == 0) {
      if (budgets[who].Spend("s", kInstances, now)) {
        retries.push_back(now);
      }
    } else {
      budgets[who].OnRequest("s", now);
      requests.push_back(now);
    }
    auto within = [now](const std::vector<TimePoint>& aTimes) {
      return static_cast<double>(
        std::count_if(aTimes.begin(), aTimes.end(), [now](TimePoint aTime) {
          return now - aTime <= Seconds(10);
        }));
    };
    RC_ASSERT(within(retries) <= 0.2 * within(requests) + 40);
  }
}

// Guards against more loads from the weight store than its rate allows, when
// each zone starts its part in the same seconds.
TEST(StoreLoadTracker, ZoneKeepsToItsPartOfTheRate)
{
  StoreLoadTracker loads;
  loads.SetLimits(4.8, 3, 60);
  int begun = 0;
  for (int ms = 0; ms < 5000; ms += 10) {
    TimePoint now = kStart + Millis(ms);
    if (loads.Wait(now) == Millis(0)) {
      std::string server = std::to_string(begun++);
      loads.Began(server, Millis(10), now);
      loads.Ended(server, false, now); // at once, so that only the rate limits
    }
  }
  EXPECT_EQ(8, begun);
}

// Guards against loads from the store that occupy servers for seconds while
// models wait whose copies are on these servers' disks: of six servers, one may
// load from the store.
TEST(StoreLoadTracker, MostServersOfAZoneStayFree)
{
  StoreLoadTracker small;
  small.SetLimits(100, 1, 3);
  EXPECT_EQ(Millis(0), small.Wait(kStart));
  small.Began("a", Seconds(6), kStart);
  EXPECT_EQ(Millis(6000), small.Wait(kStart));
  StoreLoadTracker large;
  large.SetLimits(100, 1, 12);
  large.Began("a", Seconds(6), kStart);
  EXPECT_EQ(Millis(0), large.Wait(kStart));
}

// Guards against loads that slow each other down: the tracker finds that the
// store serves two at full speed, and zones that report their loads share that
// capacity.
TEST(StoreLoadTracker, LearnsTheStoreCapacity)
{
  StoreLoadTracker loads;
  loads.SetLimits(100, 1, 60);
  TimePoint now = kStart;
  for (int round = 0; round < 6; ++round) {
    int begun = 0;
    while (loads.Wait(now) == Millis(0)) {
      loads.Began(std::to_string(begun++), Seconds(6), now);
    }
    now += Millis(6000 * std::max(2, begun) / 2);
    for (int i = 0; i < begun; ++i) {
      loads.Ended(std::to_string(i), true, now);
    }
    now += Seconds(5);
  }
  EXPECT_GE(loads.EstimatedCapacity(), 1.5);
  EXPECT_LE(loads.EstimatedCapacity(), 3);
  loads.OnOtherZoneLoad("x", Seconds(6), now);
  loads.OnOtherZoneLoad("y", Seconds(6), now);
  loads.OnOtherZoneLoad("z", Seconds(6), now);
  EXPECT_GT(loads.Wait(now), Millis(0));
  for (const char* other : { "x", "y", "z" }) {
    loads.OnOtherZoneLoad(other, Millis(0), now);
  }
  EXPECT_EQ(Millis(0), loads.Wait(now));
}

// Guards against loads that wait for those of a zone whose lease holder has
// died: nobody reports their end, and they counted for twice their time.
TEST(StoreLoadTracker, LoadsOfADeadReporterEndAtTheirTime)
{
  StoreLoadTracker loads;
  loads.SetLimits(100, 2, 60);
  constexpr Seconds kLoad{ 6 };
  for (const char* server : { "w", "x", "y", "z" }) {
    loads.OnOtherZoneLoad(server, kLoad, kStart);
  }
  EXPECT_LT(Millis(0), loads.Wait(kStart + kLoad - Millis(1)));
  EXPECT_EQ(Millis(0), loads.Wait(kStart + kLoad + Seconds(3)));
  loads.OnOtherZoneLoad("v", kLoad, kStart + kLoad + Seconds(3));
  EXPECT_EQ(1u, loads.OtherZoneLoads());
}

// Guards against a load that the store has slowed, and that another zone takes
// for ended while it is still reported; of three reports two may be lost.
TEST(StoreLoadTracker, ReportedLoadCountsUntilItsEnd)
{
  StoreLoadTracker loads;
  loads.SetLimits(100, 2, 60);
  constexpr Millis kReported = StoreLoadTracker::kReportInterval;
  for (Millis at{ 0 }; at < Seconds(9); at += kReported) {
    bool lost = (at / kReported) % 3 != 0;
    Millis left = std::max(Millis(6000) - at, kReported);
    for (const char* server : { "w", "x", "y", "z" }) {
      if (!lost) {
        loads.OnOtherZoneLoad(server, left, kStart + at);
      }
    }
    EXPECT_LT(Millis(0), loads.Wait(kStart + at)) << at.count();
  }
  for (const char* server : { "w", "x", "y", "z" }) {
    loads.OnOtherZoneLoad(server, Millis(0), kStart + Seconds(9));
  }
  EXPECT_EQ(Millis(0), loads.Wait(kStart + Seconds(9)));
}

// A rare model is loaded where its copy is, unless that server is busy for
// longer than the difference; the model with the least demand is evicted.
TEST(PlacementPlan, ModelIsLoadedWhereItsCopyIs)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1", "m2", "m3" }), kStart);
  servers.Put(Entry("s2", "a", { "m4", "m5", "m6" }, { "m9" }), kStart);
  servers.Put(Entry("s3", "b", {}, { "m9" }), kStart);
  PlacementFacts facts;
  facts.mService = "e";
  facts.mZone = "a";
  facts.mRates = { { "m4", 0.3 }, { "m5", 0.01 }, { "m6", 2 } };
  auto choice = ChoosePlacement(Engine(), "m9", servers, facts);
  ASSERT_TRUE(choice);
  EXPECT_EQ("s2", choice->mServer);
  EXPECT_EQ(WeightSource::Disk, choice->mSource);
  EXPECT_EQ(std::vector<std::string>{ "m5" }, choice->mEvict);
  facts.mBusy["s2"] = Seconds(20);
  EXPECT_EQ("s1", ChoosePlacement(Engine(), "m9", servers, facts)->mServer);
}

// Guards against evicting a model, or the base of an adapter, that has requests
// in flight.
TEST(PlacementPlan, ModelInUseIsNotEvicted)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1", "m2", "m3" }), kStart);
  for (const char* model : { "m1", "m2/a1", "m3" }) {
    servers.OnRequestBegan("s1", model, kStart);
  }
  PlacementFacts facts;
  facts.mService = "e";
  facts.mZone = "a";
  EXPECT_FALSE(ChoosePlacement(Engine(), "m9", servers, facts));
  servers.OnRequestEnded("s1", "m2/a1");
  EXPECT_TRUE(ChoosePlacement(Engine(), "m9", servers, facts));
}

// Guards against evicting a model that was just loaded. In a burst for rare
// models, the next load starts on the same server before the requests that
// waited at other instances have been sent there, so the model appears unused.
TEST(PlacementPlan, RecentlyLoadedModelIsNotEvicted)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1", "m2", "m3" }), kStart);
  PlacementFacts facts;
  facts.mService = "e";
  facts.mZone = "a";
  facts.mRates = { { "m1", 2 }, { "m2", 0.01 }, { "m3", 1 } };
  facts.mRecentlyLoaded = { { "s1", "m2" } };
  EXPECT_EQ(std::vector<std::string>{ "m3" },
            ChoosePlacement(Engine(), "m9", servers, facts)->mEvict);
  facts.mRecentlyLoaded.clear();
  EXPECT_EQ(std::vector<std::string>{ "m2" },
            ChoosePlacement(Engine(), "m9", servers, facts)->mEvict);
}

// Guards against an optimistic load time: an entry may list a copy in memory
// that is already gone, so the copy on disk counts.
TEST(PlacementPlan, CopyOnDiskGoesBeforeCopyInMemory)
{
  BackendEntry entry = Entry("s1", "a", {}, { "m9" });
  entry.mInMemory = { "m9", "m8" };
  ServerView servers;
  servers.Put(entry, kStart);
  EXPECT_EQ(WeightSource::Disk, SourceOf(*servers.Find("s1"), "m9"));
  EXPECT_EQ(WeightSource::Memory, SourceOf(*servers.Find("s1"), "m8"));
  EXPECT_EQ(WeightSource::Store, SourceOf(*servers.Find("s1"), "m7"));
}

// A server of this zone has a copy but is busy for another second, and an idle
// server of another zone has one too: that zone is chosen, as long as its queue
// is short.
TEST(ZoneChoice, IdleServerOfOtherZoneGoesBeforeBusyLocalOne)
{
  ZoneOffer here{ "a", 6, 0, Millis(780 + 900) };
  ZoneOffer other{ "b", 6, 0, Millis(780) };
  EXPECT_EQ("b", ChooseZone({ here, other }, "a"));
  other.mQueued = 9;
  EXPECT_EQ("a", ChooseZone({ here, other }, "a"));
  here.mReadyIn = Millis(780);
  other.mQueued = 0;
  EXPECT_EQ("a", ChooseZone({ here, other }, "a"));
  EXPECT_EQ("", ChooseZone({}, "a"));
}

// Two zones queue the same rare model at the same moment and receive each
// other's claims, before or after the start of their loads: never do both drop
// the load, and only if both have started do both load.
TEST(LoadClaims, TwoZonesNeverBothDropALoad)
{
  using OwnProgress = LoadClaims::OwnProgress;
  TimePoint expected = kStart + Seconds(1);
  LoadClaims a("a");
  LoadClaims b("b");
  EXPECT_FALSE(a.OnClaim("m", "b", false, expected, OwnProgress::Queued));
  EXPECT_TRUE(b.OnClaim("m", "a", false, expected, OwnProgress::Queued));
  EXPECT_FALSE(a.ExpectedFromOtherZone("m", kStart));
  EXPECT_TRUE(b.ExpectedFromOtherZone("m", kStart));
  // The load is overdue: any zone that is asked may load the model.
  EXPECT_FALSE(b.ExpectedFromOtherZone("m", expected + Seconds(1)));
  // The zone that sorts second has started; the first, which hasn't, drops its
  // load.
  EXPECT_TRUE(a.OnClaim("n", "b", true, expected, OwnProgress::Queued));
  EXPECT_FALSE(b.OnClaim("n", "a", false, expected, OwnProgress::Begun));
  EXPECT_FALSE(a.OnClaim("o", "b", true, expected, OwnProgress::Begun));
}

// Guards against requests refused by the full server of a popular model, which
// also serves other models, while servers elsewhere have memory free.
TEST(PlacementPlan, ModelOnFullServersNeedsAReplicaNow)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1", "m2" }), kStart);
  servers.Put(Entry("s2", "b", { "m3" }), kStart);
  auto need = [&](const std::string& aHere, double aRate) {
    return EvaluateReplicaNeed("e", "m1", servers, { "a", "b" }, aHere, aRate);
  };
  EXPECT_EQ(ReplicaNeed::None, need("b", 3));
  for (int i = 0; i < 32; ++i) {
    servers.OnRequestBegan("s1", i < 10 ? "m1" : "m2", kStart);
  }
  EXPECT_EQ(ReplicaNeed::Now, need("b", 3));
  // The other zone has fewer replicas.
  EXPECT_EQ(ReplicaNeed::None, need("a", 3));
  // A rare model gets no further replica; its requests wait.
  EXPECT_EQ(ReplicaNeed::None, need("b", 0.3));
}

// Guards against a second replica that waits for the weight store in one zone
// while another zone has the weights on a disk.
TEST(PlacementPlan, ReplicaGoesToAZoneThatHasACopy)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1" }), kStart);
  servers.Put(Entry("s2", "b", { "m3" }), kStart);
  servers.Put(Entry("s3", "c", { "m4" }, { "m1" }), kStart);
  for (int i = 0; i < 20; ++i) {
    servers.OnRequestBegan("s1", "m1", kStart);
  }
  auto need = [&](const std::string& aHere) {
    return EvaluateReplicaNeed("e", "m1", servers, { "a", "b", "c" }, aHere, 3);
  };
  EXPECT_EQ(ReplicaNeed::Now, need("c"));
  EXPECT_EQ(ReplicaNeed::None, need("b"));
  EXPECT_EQ(ReplicaNeed::None, need("a"));
}

// Guards against a popular model that waits behind a burst for rare ones after
// its only servers have gone. It is late for its first request already, and is
// still loaded first.
TEST(LoadPriority, PopularModelGoesBeforeABurstOfRareOnes)
{
  LoadPriorityFacts rare;
  rare.mRate = 0.2;
  rare.mSince = kStart;
  rare.mNeedBy = kStart + Seconds(2);
  rare.mLoad = Millis(780);
  LoadPriorityFacts popular = rare;
  popular.mRate = 20;
  popular.mSince = kStart + Millis(500);
  popular.mNeedBy = kStart + Millis(700);
  TimePoint now = kStart + Millis(600);
  EXPECT_LT(RankLoad(popular, now), RankLoad(rare, now));
  // An extra replica of it can wait, and so can a rare model that is late.
  LoadPriorityFacts replica = popular;
  replica.mHasWaiters = false;
  EXPECT_LT(RankLoad(rare, now), RankLoad(replica, now));
  LoadPriorityFacts late = rare;
  late.mNeedBy = now;
  EXPECT_LT(RankLoad(rare, now), RankLoad(late, now));
}

// Guards against planning by a server's own entry, which is older than the
// content reported by the lease holder.
TEST(PlacementPlan, FreeMemoryFollowsReportedContent)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1", "m2" }), kStart);
  EXPECT_TRUE(FitsBeside(Engine(), servers.Find("s1")->mModels, "m3", ""));
  servers.PutContent(
    "s1", 0, 1, { { "m1", {} }, { "m2", {} }, { "m3", {} } }, kStart);
  EXPECT_FALSE(FitsBeside(Engine(), servers.Find("s1")->mModels, "m4", ""));
}

// A failing server is avoided, and used if it is the only one left: suspicion
// must not empty a zone.
TEST(ServerView, FailingServerIsUsedWhenNoOtherIsLeft)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", {}), kStart);
  servers.Put(Entry("s2", "a", {}), kStart);
  std::mt19937 random(1);
  servers.RecordOutcome("s1", ServerOutcome::Broken, kStart);
  ServerRequirements requirements;
  requirements.mService = "e";
  requirements.mZone = "a";
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(
      "s2", servers.Choose(requirements, kStart, random).mBackend->mEntry.mId);
  }
  requirements.mExcluded = { "s2" };
  EXPECT_EQ("s1",
            servers.Choose(requirements, kStart, random).mBackend->mEntry.mId);
}

// Guards against instances that see only their own requests and all send to
// the same busy server.
TEST(ServerView, PeerRequestsAreIncludedInTheCost)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1" }), kStart);
  servers.Put(Entry("s2", "a", { "m1" }), kStart);
  servers.PutPeerRequests("peer", { { "s1", { { "m1", 20 } } } });
  std::mt19937 random(1);
  ServerRequirements requirements;
  requirements.mService = "e";
  requirements.mModel = "m1";
  requirements.mZone = "a";
  EXPECT_EQ("s2",
            servers.Choose(requirements, kStart, random).mBackend->mEntry.mId);
  servers.ForgetPeer("peer");
  EXPECT_EQ(0, servers.Find("s1")->RequestsInFlight());
}

// Guards against sending a request again to a server that has just reported its
// model as missing, while the server's last reported content still lists it.
TEST(ServerView, ServerSuspectedMissingTheModelIsSkipped)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", { "m1", "m2" }), kStart);
  servers.MarkMissing("s1", "m1", "", kStart);
  std::mt19937 random(1);
  ServerRequirements requirements;
  requirements.mService = "e";
  requirements.mModel = "m1";
  requirements.mZone = "a";
  EXPECT_FALSE(
    servers.Choose(requirements, kStart + Millis(20), random).mBackend);
  EXPECT_TRUE(
    servers.Choose(requirements, kStart + Seconds(1), random).mBackend);
  requirements.mModel = "m2";
  EXPECT_TRUE(
    servers.Choose(requirements, kStart + Millis(20), random).mBackend);
}

// Heartbeats report counts for all servers, messages those of one zone; a
// server that is listed later gets the counts reported before. Nothing is
// counted twice or left behind.
TEST(ServerView, PeerRequestsAreCountedOnce)
{
  ServerView servers;
  servers.Put(Entry("s1", "a", {}), kStart);
  servers.PutPeerRequests(
    "p", { { "s1", { { "m1", 2 } } }, { "s2", { { "m2", 3 } } } });
  servers.Put(Entry("s2", "b", {}), kStart);
  EXPECT_EQ(3, servers.Find("s2")->RequestsInFlight("m2"));
  servers.PutPeerRequestsIn("a", "p", { { "s1", { { "m4", 1 } } } });
  EXPECT_EQ(0, servers.Find("s1")->RequestsInFlight("m1"));
  EXPECT_EQ(1, servers.Find("s1")->RequestsInFlight("m4"));
  EXPECT_EQ(3, servers.Find("s2")->RequestsInFlight("m2"));
  servers.PutPeerRequestsIn("b", "p", {});
  EXPECT_EQ(0, servers.Find("s2")->RequestsInFlight());
  servers.ForgetPeer("p");
  EXPECT_EQ(0, servers.Find("s1")->RequestsInFlight());
}

// Guards against requests for models that a server held before it restarted
// under the same id.
TEST(ServerView, RestartDiscardsEarlierState)
{
  ServerView servers;
  BackendEntry entry = Entry("s1", "a", { "m1" });
  servers.Put(entry, kStart);
  servers.PutContent("s1", 0, 7, { { "m1", { "a1" } } }, kStart);
  entry.mStartTime = 5;
  entry.mModels.clear();
  servers.Put(entry, kStart);
  EXPECT_FALSE(servers.Find("s1")->Holds("m1", ""));
  EXPECT_EQ(-1, servers.Find("s1")->mOrderCount);
  EXPECT_FALSE(servers.PutContent("s1", 0, 8, { { "m1", {} } }, kStart));
}

// Guards against memory that grows with each name that callers ever asked for.
TEST(DemandTracker, NamesOfLongAgoAreForgotten)
{
  DemandTracker demand;
  for (int i = 0; i < 100; ++i) {
    demand.Add("no-such-model-" + std::to_string(i), 1, kStart);
  }
  TimePoint later = kStart + Seconds(300);
  demand.Add("m1", 1, later);
  EXPECT_EQ(1u, demand.Rates(later).size());
}

// Guards against keeping models that are no longer requested: demand moves to
// other models within seconds.
TEST(DemandTracker, OldDemandDecaysWithinSeconds)
{
  DemandTracker demand;
  for (int i = 0; i < 80; ++i) {
    demand.Add("old", 1, kStart + Millis(100 * i));
  }
  TimePoint later = kStart + Seconds(24);
  for (int i = 0; i < 20; ++i) {
    demand.Add("new", 1, later);
  }
  EXPECT_GT(demand.Rate("new", later), demand.Rate("old", later));
}

} // namespace caraway
