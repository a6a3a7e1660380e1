#include <gtest/gtest.h>

#include <algorithm>

#include "decide/DemandExchange.h"
#include "decide/LoadPriority.h"
#include "decide/PlacementPlan.h"
#include "load/LoadMessages.h"

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };
constexpr Millis kDisk{ 600 };
constexpr Millis kBatchTarget{ 2000 };

EngineSpec
Engine()
{
  EngineSpec engine;
  engine.mMemoryMb = 230000; // three models
  for (const char* model :
       { "u1", "u2", "u3", "u4", "p1", "p2", "p3", "p4", "new" }) {
    engine.mModels[model] = { 72000, Millis(8000), kDisk };
  }
  return engine;
}

void
Put(ServerView& aServers,
    const std::string& aId,
    const std::string& aZone,
    const std::vector<std::string>& aModels,
    const std::set<std::string>& aOnDisk = {})
{
  BackendEntry entry;
  entry.mId = aId;
  entry.mService = "e";
  entry.mZone = aZone;
  entry.mSlots = 12;
  for (const std::string& model : aModels) {
    entry.mModels[model];
  }
  entry.mOnDisk = aOnDisk;
  aServers.Put(entry, kStart);
}

// Facts of zone "a": u1, u2 and u3 have one urgent request a second there, p1
// to p3 a patient one each two seconds.
PlacementFacts
Facts(const ServerView& aServers)
{
  PlacementFacts facts;
  facts.mService = "e";
  facts.mZone = "a";
  facts.mKnowsUrgent = true;
  facts.mReplicas = CountReplicas(aServers);
  facts.mZoneReplicas = CountReplicas(aServers, {}, "a");
  for (const char* model : { "u1", "u2", "u3" }) {
    facts.mRates[model] = 1;
    facts.mUrgent[model] = { 1, 1, 1 };
  }
  for (const char* model : { "p1", "p2", "p3" }) {
    facts.mRates[model] = 0.5;
  }
  return facts;
}

std::optional<PlacementChoice>
Choose(const ServerView& aServers,
       const PlacementFacts& aFacts,
       LoadPurpose aPurpose,
       Millis aLeft = Millis(0))
{
  return ChoosePlacement(
    Engine(), "new", aServers, aFacts, "", PatienceOf(aPurpose, aLeft));
}

// A model with one replica, in zone "a", becomes popular in three zones: eleven
// requests a second, each of which takes 1.5 s. Lease holders learn of requests
// four times a second; a load takes 0.65 s.
class NewlyPopular
{
public:
  NewlyPopular()
  {
    Put(mServers, "a", "a", { "new" });
    Put(mServers, "b", "b", {}, { "new" });
    Put(mServers, "c", "c", {}, { "new" });
  }

  // Returns the number of requests that found no free slot within four seconds.
  int Run(bool aKnowsUrgent)
  {
    Millis check = aKnowsUrgent ? Millis(100) : Millis(500);
    int late = 0;
    for (Millis at{ 0 }; at < Seconds(4); at += Millis(10)) {
      mNow = kStart + at;
      late += at % Millis(90) == Millis(0) && !Begin() ? 1 : 0;
      End();
      if (at % Millis(250) == Millis(0)) {
        Report();
      }
      if (at % check == Millis(0)) {
        Decide(aKnowsUrgent);
      }
    }
    return late;
  }

  int Replicas() const { return CountReplicas(mServers).at("new"); }

private:
  bool Begin()
  {
    ++mUnreported[mZones[mBegun++ % mZones.size()]];
    for (const auto& [id, server] : mServers.All()) {
      if (server.Holds("new", "") && server.Load() < 1) {
        mEnds.emplace_back(mNow + Millis(1500), id);
        mServers.OnRequestBegan(id, "new", mNow);
        return true;
      }
    }
    return false;
  }
  void End()
  {
    while (!mEnds.empty() && mEnds.front().first <= mNow) {
      mServers.OnRequestEnded(mEnds.front().second, "new");
      mEnds.erase(mEnds.begin());
    }
    for (const auto& [zone, loaded] : mLoaded) {
      if (loaded <= mNow) {
        mServers.PutContent(zone, 0, 1, { { "new", {} } }, mNow);
      }
    }
  }
  void Report()
  {
    for (auto& [zone, count] : mUnreported) {
      mAll.Add("new", count, mNow);
      mUrgent.Add("new", zone, count, mNow);
      count = 0;
    }
  }
  void Decide(bool aKnowsUrgent)
  {
    for (const std::string& zone : mZones) {
      UrgentRates urgent = mUrgent.RatesOf("new", zone, mNow);
      ReplicaNeed need =
        EvaluateReplicaNeed("e",
                            "new",
                            mServers,
                            mZones,
                            zone,
                            mAll.Rate("new", mNow),
                            {},
                            aKnowsUrgent ? urgent : UrgentRates(),
                            kDisk + kUnloadTime);
      if (need != ReplicaNeed::None) {
        mLoaded.emplace(zone, mNow + kDisk + kUnloadTime);
      }
    }
  }

  ServerView mServers;
  DemandTracker mAll;
  UrgentDemand mUrgent;
  std::vector<std::string> mZones{ "a", "b", "c" };
  std::map<std::string, int> mUnreported; // by zone
  std::vector<std::pair<TimePoint, std::string>> mEnds;
  std::map<std::string, TimePoint> mLoaded; // by zone
  size_t mBegun = 0;
  TimePoint mNow = kStart;
};

} // namespace

// Guards against callers counted as patient whose target a load from disk
// exceeds, and the other way around.
TEST(LoadPatience, TargetShorterThanTheLoadIsImpatient)
{
  ModelWeights model{ 72000, Millis(8000), Millis(500) };
  EXPECT_EQ(LoadPurpose::Impatient, PurposeOf(Millis(480), model));
  EXPECT_EQ(LoadPurpose::Patient, PurposeOf(Millis(1880), model));
  EXPECT_EQ(LoadPurpose::Unstated, ReadLoadPurpose(""));
  EXPECT_EQ(LoadPurpose::Unstated, ReadLoadPurpose("zone"));
  EXPECT_EQ(LoadPurpose::Patient, ReadLoadPurpose("patient"));
}

// A batch request has two seconds. One server with a copy of its model holds
// three models that urgent callers request each second; the other is busy for
// another 0.9 s and holds models with a patient request each two seconds.
// Guards against the eviction of the former, which makes urgent callers late.
TEST(LoadPatience, BatchLoadDoesNotEvictWhatUrgentCallersNeed)
{
  ServerView servers;
  Put(servers, "s1", "a", { "u1", "u2", "u3" }, { "new" });
  Put(servers, "s2", "a", { "p1", "p2", "p3" }, { "new" });
  PlacementFacts facts = Facts(servers);
  facts.mBusy["s2"] = Millis(900);
  Millis left = kBatchTarget - Millis(120);
  EXPECT_EQ("s2", Choose(servers, facts, LoadPurpose::Patient, left)->mServer);
  // Also when it is late already, and when s2 fails.
  EXPECT_EQ("s2", Choose(servers, facts, LoadPurpose::Patient)->mServer);
  facts.mAvoid = { "s2" };
  EXPECT_FALSE(Choose(servers, facts, LoadPurpose::Patient, left));
  // Callers that are late meanwhile get the place.
  EXPECT_EQ("s1", Choose(servers, facts, LoadPurpose::Impatient)->mServer);
}

// Guards against evicting the model with the lower rate when that is the one
// whose callers can't wait for its reload.
TEST(LoadPatience, ModelOfPatientCallersIsEvictedFirst)
{
  ServerView servers;
  Put(servers, "s1", "a", { "u1", "p1", "p2" });
  PlacementFacts facts = Facts(servers);
  facts.mRates = { { "u1", 0.2 }, { "p1", 1 }, { "p2", 1.1 } };
  facts.mUrgent = { { "u1", { 0.2, 0.2, 0 } } };
  EXPECT_EQ(std::vector<std::string>{ "p1" },
            Choose(servers, facts, LoadPurpose::Patient)->mEvict);
  facts.mKnowsUrgent = false;
  EXPECT_EQ(std::vector<std::string>{ "u1" },
            Choose(servers, facts, LoadPurpose::Patient)->mEvict);
}

// Guards against a load from the shared store where a patient caller has the
// time for it, while a server with a copy is busy for a moment.
TEST(LoadPatience, PatientLoadDoesNotUseTheStoreWithoutNeed)
{
  ServerView servers;
  Put(servers, "s1", "a", {});
  Put(servers, "s2", "a", { "p1", "p2", "p3" }, { "new" });
  PlacementFacts facts = Facts(servers);
  facts.mBusy["s2"] = Seconds(10);
  EXPECT_EQ("s2",
            Choose(servers, facts, LoadPurpose::Patient, Seconds(20))->mServer);
}

// One server loads one model after the other, each in 0.65 s. A batch request
// with two seconds waits, and each 0.3 s another model is requested by an
// urgent caller. Guards against an urgent caller that waits behind the batch
// request, and against a batch request that is late behind urgent ones.
TEST(LoadPatience, PatientRequestGivesUpItsPlaceAndIsOnTime)
{
  constexpr Millis kLoad{ 650 };
  LoadPriorityFacts batch;
  batch.mPriority = 0; // the tenant's
  batch.mSince = kStart;
  batch.mNeedBy = kStart + kBatchTarget - Millis(120);
  batch.mLoad = kLoad;
  batch.mPurpose = LoadPurpose::Patient;
  std::vector<LoadPriorityFacts> queue{ batch };
  TimePoint asked = kStart + Millis(100);
  TimePoint batchBegan{};
  int before = 0;
  for (TimePoint now = asked; batchBegan == TimePoint(); now += kLoad) {
    for (; asked <= now; asked += Millis(300)) {
      LoadPriorityFacts urgent = batch;
      urgent.mPriority = 5;
      urgent.mSince = asked;
      urgent.mNeedBy = asked + Millis(380);
      urgent.mPurpose = LoadPurpose::Impatient;
      queue.push_back(urgent);
    }
    auto first = std::min_element(
      queue.begin(), queue.end(), [now](const auto& aOne, const auto& aOther) {
        return RankLoad(aOne, now) < RankLoad(aOther, now);
      });
    bool isBatch = first->mPurpose == LoadPurpose::Patient;
    before += isBatch ? 0 : 1;
    batchBegan = isBatch ? now : TimePoint();
    queue.erase(first);
  }
  EXPECT_GE(before, 1);
  EXPECT_LE(batchBegan + kLoad, batch.mNeedBy);
}

// Guards against a model with many urgent callers that waits behind one with a
// single caller, because it was requested later.
TEST(LoadPatience, NewlyPopularModelIsLoadedFirst)
{
  LoadPriorityFacts rare;
  rare.mPurpose = LoadPurpose::Impatient;
  rare.mSince = kStart;
  LoadPriorityFacts popular = rare;
  popular.mSince = kStart + Millis(300);
  popular.mUrgentRate = 4;
  EXPECT_LT(RankLoad(popular, popular.mSince), RankLoad(rare, popular.mSince));
}

// Guards against a purpose that is lost on the way to the lease holder, and a
// field that deployments without it would send.
TEST(LoadPatience, LoadRequestCarriesItsPurpose)
{
  LoadRequest request{ "e", "u1", "", 5, Millis(380) };
  EXPECT_FALSE(LoadRequestJson(request).isMember("purpose"));
  EXPECT_EQ(LoadPurpose::Unstated,
            ReadLoadRequest(LoadRequestJson(request)).mPurpose);
  request.mPurpose = LoadPurpose::Impatient;
  EXPECT_EQ(LoadPurpose::Impatient,
            ReadLoadRequest(LoadRequestJson(request)).mPurpose);
}

// Guards against replicas that are loaded only when the slots of the first one
// are taken, so that callers wait for the load.
TEST(LoadPatience, NewlyPopularModelGetsReplicasBeforeItsCallersWait)
{
  NewlyPopular model;
  EXPECT_EQ(0, model.Run(true));
  EXPECT_EQ(3, model.Replicas());
  EXPECT_GT(NewlyPopular().Run(false), 0); // the load is one that needs this
}

// Guards against a zone that has no replica of what its urgent callers need
// when it is cut off, and against replicas in zones that don't request them.
TEST(LoadPatience, ZoneKeepsWhatItsUrgentCallersNeed)
{
  ServerView servers;
  Put(servers, "s1", "a", { "u1" });
  Put(servers, "s2", "b", {}, { "u1" });
  Put(servers, "s3", "c", {});
  auto need = [&](const std::string& aZone, const UrgentRates& aUrgent) {
    return EvaluateReplicaNeed("e",
                               "u1",
                               servers,
                               { "a", "b", "c" },
                               aZone,
                               aUrgent.mFleet,
                               {},
                               aUrgent,
                               kDisk);
  };
  EXPECT_EQ(ReplicaNeed::Zone, need("b", { 0.5, 0.2, 0 }));
  EXPECT_EQ(ReplicaNeed::None, need("b", { 0.5, 0, 0 }));
  EXPECT_EQ(ReplicaNeed::None, need("b", { 0.2, 0.2, 0 }));
  EXPECT_EQ(ReplicaNeed::None, need("a", { 0.5, 0.2, 0 }));
  // From the weight store only for a popular model.
  EXPECT_EQ(ReplicaNeed::None, need("c", { 0.5, 0.2, 0 }));
  EXPECT_EQ(ReplicaNeed::Zone, need("c", { 8, 3, 8 }));
}

// Guards against a replica for capacity that a zone with the only copy on a
// server full of models in use would have to load from the weight store.
TEST(LoadPatience, CapacityComesFromAZoneWithAUsableCopy)
{
  ServerView servers;
  Put(servers, "s1", "a", { "u1" });
  Put(servers, "s2", "b", { "u2" }, { "u1" });
  Put(servers, "s3", "c", { "u3", "p1" }, { "u1" });
  for (const char* id : { "s1", "s2", "s3" }) {
    for (int i = 0; i < 8; ++i) {
      servers.OnRequestBegan(id, "u" + std::string(1, id[1]), kStart);
    }
  }
  auto need = [&](const std::string& aZone) {
    return EvaluateReplicaNeed(
      "e", "u1", servers, { "a", "b", "c" }, aZone, 8, {}, { 8, 0, 8 }, kDisk);
  };
  EXPECT_EQ(ReplicaNeed::Now, need("c"));
  EXPECT_EQ(ReplicaNeed::None, need("b"));
}

// Guards against zones' replicas that evict each other in turn.
TEST(LoadPatience, ZoneReplicaEvictsNothingUrgent)
{
  ServerView servers;
  Put(servers, "s1", "a", { "u1", "u2", "u3" }, { "new" });
  PlacementFacts facts = Facts(servers);
  EXPECT_FALSE(Choose(servers, facts, LoadPurpose::Zone));
  EXPECT_TRUE(Choose(servers, facts, LoadPurpose::Capacity));
  Put(servers, "s2", "a", { "u1", "u2", "p1" });
  facts = Facts(servers);
  EXPECT_EQ(std::vector<std::string>{ "p1" },
            Choose(servers, facts, LoadPurpose::Zone)->mEvict);
}

// Guards against a replica on a server whose slots other models' requests take,
// where it adds no capacity.
TEST(LoadPatience, ReplicaForCapacityGoesToAnIdleServer)
{
  ServerView servers;
  Put(servers, "s1", "a", { "u1" }, { "new" });
  Put(servers, "s2", "a", { "p1" }, { "new" });
  for (int i = 0; i < 10; ++i) {
    servers.OnRequestBegan("s1", "u1", kStart);
  }
  PlacementFacts facts = Facts(servers);
  EXPECT_EQ("s2", Choose(servers, facts, LoadPurpose::Capacity)->mServer);
}

// Guards against a lease holder that learns of urgent callers late, in the
// wrong zone, or from instances that report none.
TEST(LoadPatience, UrgentRequestsAreCountedByZone)
{
  DemandExchange instance;
  for (int i = 0; i < 4; ++i) {
    instance.CountOwn("u1", kStart);
    instance.CountOwnUrgent("u1", "b", kStart);
  }
  DemandExchange holder;
  holder.OnReport(instance.TakeForHolders(), "b", kStart);
  holder.OnReport({ { { "u1", 4 } }, {} }, "a", kStart); // an older version
  EXPECT_TRUE(instance.TakeForHolders().Empty());
  UrgentRates near = holder.Urgent().RatesOf("u1", "b", kStart);
  EXPECT_NEAR(0.5, near.mZone, 1e-9);
  EXPECT_NEAR(4, near.mRecent, 1e-9);
  EXPECT_EQ(0, holder.Urgent().RatesOf("u1", "a", kStart).mZone);
  EXPECT_NEAR(0.5, holder.Urgent().RatesOf("u1", "a", kStart).mFleet, 1e-9);
  EXPECT_NEAR(1, holder.Rate("u1", kStart), 1e-9);
}

} // namespace caraway
