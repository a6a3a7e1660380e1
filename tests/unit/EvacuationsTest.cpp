// Which zones are out of service, by reports of different age, and what that
// means for the choice of a server and of a zone's replicas.

#include <gtest/gtest.h>

#include "decide/Evacuations.h"
#include "decide/LoadClaims.h"
#include "decide/PlacementPlan.h"
#include "platform/EvacuationEntry.h"

namespace caraway {

namespace {

using Zones = std::set<std::string>;

constexpr TimePoint kNow{ Seconds(1000) };

BackendEntry
Server(const std::string& aId, const std::string& aZone)
{
  BackendEntry entry;
  entry.mId = aId;
  entry.mService = "llm";
  entry.mZone = aZone;
  entry.mSlots = 4;
  entry.mModels["m"];
  return entry;
}

} // namespace

// Guards against an old report, of a peer or of a late answer of the store,
// that evacuates a zone again or lifts its evacuation.
TEST(Evacuations, OnlyANewerRevisionReplacesTheSet)
{
  Evacuations known;
  EXPECT_FALSE(known.Known());
  EXPECT_FALSE(known.Apply({}, 3, kNow).Any());
  EXPECT_TRUE(known.Known());
  auto change = known.Apply({ "a", "b" }, 5, kNow);
  EXPECT_EQ((std::vector<std::string>{ "a", "b" }), change.mEvacuated);
  EXPECT_FALSE(known.Apply({}, 5, kNow).Any());
  EXPECT_FALSE(known.Apply({ "c" }, 4, kNow).Any());
  EXPECT_EQ((Zones{ "a", "b" }), known.Zones());
  change = known.Apply({ "b", "c" }, 9, kNow + Seconds(1));
  EXPECT_EQ(std::vector<std::string>{ "c" }, change.mEvacuated);
  EXPECT_EQ(std::vector<std::string>{ "a" }, change.mLifted);
  EXPECT_FALSE(known.Evacuated("a"));
  EXPECT_EQ(5, known.Origins().at("b").mRevision);
  EXPECT_EQ(kNow + Seconds(1), known.Origins().at("c").mAt);
}

TEST(Evacuations, OnlyAnObjectForAZoneIsRead)
{
  using wire::EvacuationReading;
  using wire::ReadEvacuation;
  StoreObject object{ "a", 4, Json::Value(Json::objectValue) };
  EXPECT_EQ(EvacuationReading::Good, ReadEvacuation(object, { "a", "b" }));
  EXPECT_EQ(EvacuationReading::UnknownZone, ReadEvacuation(object, { "b" }));
  object.mSpec["reason"] = "repair";
  EXPECT_EQ(EvacuationReading::Good, ReadEvacuation(object, { "a" }));
  for (const Json::Value& spec :
       { Json::Value(), Json::Value("a"), Json::Value(Json::arrayValue) }) {
    object.mSpec = spec;
    EXPECT_EQ(EvacuationReading::SpecNotObject,
              ReadEvacuation(object, { "a" }));
  }
}

// Guards against requests that wait for servers that they may not use: the
// choice tells that no zone is left, also if one server failed the request.
TEST(Evacuations, ServersOfExcludedZonesAreNeitherChosenNorHolders)
{
  ServerView view;
  std::mt19937 random;
  view.Put(Server("s1", "a"), kNow);
  ServerRequirements request;
  request.mService = "llm";
  request.mModel = "m";
  request.mExcludedZones = { "a" };
  ServerChoice choice = view.Choose(request, kNow, random);
  EXPECT_FALSE(choice.mBackend || choice.mHeld);
  EXPECT_TRUE(choice.mZonesExcluded);
  EXPECT_FALSE(view.HasVersion("llm", "", { "a" }));
  view.Put(Server("s2", "b"), kNow);
  EXPECT_EQ("s2", view.Choose(request, kNow, random).mBackend->mEntry.mId);
  request.mExcluded = { "s2" };
  choice = view.Choose(request, kNow, random);
  EXPECT_FALSE(choice.mBackend || choice.mHeld || choice.mZonesExcluded);
  request.mExcluded.clear();
  request.mOnly = { "s1" };
  EXPECT_TRUE(view.Choose(request, kNow, random).mZonesExcluded);
  // A service without servers isn't one whose zones are excluded.
  request.mService = "none";
  EXPECT_FALSE(view.Choose(request, kNow, random).mZonesExcluded);
}

// Guards against a zone out of service that ranks first for the next replica,
// so that no zone loads it, and against replicas there that seem to suffice.
TEST(Evacuations, ExcludedZonesCountForNoReplica)
{
  ServerView view;
  view.Put(Server("s1", "a"), kNow);
  view.Put(Server("s2", "b"), kNow);
  for (int i = 0; i < 4; ++i) {
    view.OnRequestBegan("s2", "m", kNow);
  }
  auto need = [&view](const Zones& aExcluded) {
    return EvaluateReplicaNeed(
      "llm", "m", view, { "a", "b", "c" }, "b", 1, aExcluded);
  };
  EXPECT_EQ(ReplicaNeed::None, need({}));
  EXPECT_EQ(ReplicaNeed::None, need({ "a" })); // "c" ranks first
  EXPECT_EQ(ReplicaNeed::Soon, need({ "a", "c" }));
  EXPECT_EQ(2, CountReplicas(view)["m"]);
  EXPECT_EQ(1, CountReplicas(view, { "a" })["m"]);
}

// Guards against requests that wait for a load that an evacuated zone announced
// and no longer carries out.
TEST(Evacuations, ClaimsOfEvacuatedZonesEnd)
{
  LoadClaims claims("b");
  auto none = LoadClaims::OwnProgress::None;
  claims.OnClaim("m1", "a", true, kNow + Seconds(6), none);
  claims.OnClaim("m2", "c", true, kNow + Seconds(6), none);
  claims.ForgetZones({ "a" });
  EXPECT_FALSE(claims.ExpectedFromOtherZone("m1", kNow));
  EXPECT_TRUE(claims.ExpectedFromOtherZone("m2", kNow));
}

} // namespace caraway
