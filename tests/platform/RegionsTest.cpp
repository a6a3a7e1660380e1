// Requests whose route or tenant names regions reach servers and instances of
// these regions only.

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

EntryFleetOptions
TwoRegions()
{
  EntryFleetOptions options;
  options.mZones = { "a", "b" };
  options.mRegions = { { "a", "north" }, { "b", "south" } };
  options.mEngines = 2;
  options.mPlain = 4;
  options.mStep = Millis(2);
  return options;
}

// Zone a with instance 0 is in region north, zone b with instance 1 in region
// south, each with two plain servers and two engines. Tenant globex is
// restricted to north, the routes "safe" and "stream" to south, "order" and
// "resume" not.
class Regions : public testing::Test
{
protected:
  Regions()
    : mFleet(TwoRegions())
  {
    mFleet.List(*mFleet.mPlain[2], "plain", "b");
    mFleet.List(*mFleet.mPlain[3], "plain", "b");
    mFleet.mEngines[0]->mModels["m1"];
    mFleet.List(*mFleet.mEngines[0], "engine", "a");
    mFleet.mConfig["routes"][0]["allowedRegions"].append("south");
    mFleet.mConfig["routes"][2]["allowedRegions"].append("south");
    mFleet.mConfig["tenants"][1]["allowedRegions"].append("north");
    mFleet.Configure();
    mFleet.AwaitReady();
  }
  TestCallPtr Call(size_t aInstance,
                   const std::string& aPath,
                   const char* aTenant = "acme")
  {
    return mFleet.Call(
      aInstance,
      aPath,
      "r" + std::to_string(++mSent),
      { { wire::kAuthorization, std::string("Bearer key-") + aTenant } });
  }
  // On plain servers.
  size_t RunsInNorth() const
  {
    return mFleet.mPlain[0]->mRuns.size() + mFleet.mPlain[1]->mRuns.size();
  }
  size_t RunsInSouth() const
  {
    return mFleet.mPlain[2]->mRuns.size() + mFleet.mPlain[3]->mRuns.size();
  }

  EntryTestFleet mFleet;
  int mSent = 0;
};

} // namespace

TEST_F(Regions, RequestsReachServersOfTheirRegionsOnly)
{
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(200, Call(0, "/safe/x")->mStatus);
  }
  EXPECT_EQ(0u, RunsInNorth());
  EXPECT_EQ(10u, RunsInSouth());
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(200, Call(1, "/order/x", "globex")->mStatus);
  }
  EXPECT_EQ(10u, RunsInNorth());
  EXPECT_EQ(10u, RunsInSouth());
}

TEST_F(Regions, RequestWithoutAPermittedRegionIsRefusedAtOnce)
{
  TestCallPtr call = Call(0, "/safe/x", "globex");
  EXPECT_EQ(503, call->mStatus);
  EXPECT_NE("", call->Field(wire::kRetryAfter));
  EXPECT_LT(call->mHeadAt - call->mSentAt, Millis(100));
  EXPECT_GT(
    mFleet.LogLines(0, "no server of the service is in a permitted region"), 0);
}

// Guards against a request that waits for a load in a zone that it may not
// reach, or that counts a server there as a holder of its model.
TEST_F(Regions, MissingModelIsLoadedInAPermittedRegion)
{
  TestCallPtr call =
    mFleet.Call(0,
                "/stream/stream",
                "m",
                { { wire::kModel, "m1" }, { wire::kTokens, "9,9" } });
  EXPECT_EQ(200, call->mStatus);
  EXPECT_TRUE(mFleet.mEngines[0]->mRuns.empty());
  EXPECT_EQ(
    1u, mFleet.mEngines[2]->mRuns.size() + mFleet.mEngines[3]->mRuns.size());
}

// An instance in north reaches no server. What may reach servers in south goes
// to the instance there; a request that is restricted to north doesn't.
TEST_F(Regions, BodiesAreForwardedToPermittedRegionsOnly)
{
  Poco::Net::ServerSocket closed;
  closed.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
  mFleet.CutOffFromServers(0, closed.address().toString());
  for (int i = 0; i < 3; ++i) {
    Call(0, "/order/x");
    mFleet.Call(0,
                "/resume/stream",
                "s" + std::to_string(i),
                { { wire::kModel, "m0" }, { wire::kTokens, "9,9" } });
  }
  ASSERT_TRUE(mFleet.mInstances[0]->State().mServerReach.CutOff());
  EXPECT_EQ(200, Call(0, "/safe/x")->mStatus);
  int forwarded = mFleet.LogLines(0, "\"request_forwarded\"");
  EXPECT_GT(forwarded, 0);
  EXPECT_EQ(503, Call(0, "/order/x", "globex")->mStatus);
  EXPECT_EQ(forwarded, mFleet.LogLines(0, "\"request_forwarded\""));
}

} // namespace caraway
