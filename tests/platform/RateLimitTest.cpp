// Servers in need that name how many requests a second they take from all
// instances together.

#include <gtest/gtest.h>

#include "decide/RateReservations.h"
#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" } };

constexpr char kLimit[] = "1.4";
constexpr double kLimitPerSecond = 1.4;

EntryFleetOptions
TwoZones(int aEngines)
{
  EntryFleetOptions options;
  options.mZones = { "a", "b" };
  options.mInstances = 4;
  options.mEngines = aEngines;
  options.mStep = Millis(2);
  return options;
}

struct Tally
{
  int mServed = 0;
  int mRefused = 0;
  int mOther = 0;
};

Tally
Count(const std::vector<TestCallPtr>& aCalls)
{
  Tally tally;
  for (const TestCallPtr& call : aCalls) {
    bool refused =
      call->mStatus == 503 && !call->Field(wire::kRetryAfter).empty();
    tally.mServed += call->mStatus == 200 ? 1 : 0;
    tally.mRefused += refused ? 1 : 0;
    tally.mOther += call->mStatus != 200 && !refused ? 1 : 0;
  }
  return tally;
}

// Instances that have just started give no permits.
void
AwaitPermits(EntryTestFleet& aFleet)
{
  aFleet.AwaitReady();
  aFleet.RunFor(RateReservations::kSettleTime);
}

// Sends a request to each of the first aInstances in turn, one each 100 ms.
std::vector<TestCallPtr>
SendFor(EntryTestFleet& aFleet, Millis aTime, size_t aInstances)
{
  constexpr Millis kInterval{ 100 };
  std::vector<TestCallPtr> calls;
  for (Millis at{ 0 }; at < aTime; at += kInterval) {
    calls.push_back(aFleet.Send(calls.size() % aInstances,
                                "/stream/stream",
                                "r" + std::to_string(calls.size()),
                                kModel));
    aFleet.RunFor(kInterval);
  }
  aFleet.RunFor(Seconds(3));
  return calls;
}

// Only the first server holds the model that is asked for.
void
LeaveOneHolder(EntryTestFleet& aFleet)
{
  for (size_t i = 1; i < aFleet.mEngines.size(); ++i) {
    aFleet.mEngines[i]->mModels.clear();
    aFleet.List(*aFleet.mEngines[i], "engine", "b");
  }
}

} // namespace

// Guards against a server in need that gets more than it named, from instances
// that each know of the limit and not of each other's requests. The test's end
// judges the server; whoever can't be served is refused, with a time.
TEST(RateLimit, ServerGetsNoMoreThanItNames)
{
  EntryTestFleet fleet(TwoZones(1));
  fleet.mEngines.pop_back();
  fleet.mStore->Remove(wire::kServersKind, "engine-b0");
  AwaitPermits(fleet);
  fleet.mEngines[0]->mRateLimit = kLimit;
  constexpr Seconds kTime{ 16 };
  Tally tally = Count(SendFor(fleet, kTime, fleet.Instances()));
  EXPECT_EQ(0, tally.mOther);
  EXPECT_GE(tally.mServed, kLimitPerSecond * kTime.count() / 2);
  EXPECT_GT(tally.mRefused, 0);
}

// Guards against a division of the limit that leaves most of it to instances
// that nobody calls.
TEST(RateLimit, InstanceThatAloneIsCalledGetsMostOfIt)
{
  EntryTestFleet fleet(TwoZones(1));
  fleet.mEngines.pop_back();
  fleet.mStore->Remove(wire::kServersKind, "engine-b0");
  AwaitPermits(fleet);
  fleet.mEngines[0]->mRateLimit = kLimit;
  constexpr Seconds kTime{ 12 };
  Tally tally = Count(SendFor(fleet, kTime, 1));
  EXPECT_GE(tally.mServed, kLimitPerSecond * kTime.count() * 0.7);
}

// Guards against refusals while another server of the model has room.
TEST(RateLimit, OtherServersServeFirst)
{
  EntryTestFleet fleet(TwoZones(1));
  fleet.AwaitReady();
  fleet.mEngines[0]->mRateLimit = kLimit;
  auto calls = SendFor(fleet, Seconds(8), fleet.Instances());
  EXPECT_EQ(static_cast<int>(calls.size()), Count(calls).mServed);
}

// Guards against a model whose only server has named a limit and that is loaded
// nowhere else, though it is asked for more often.
TEST(RateLimit, ModelOfALimitedServerGetsAReplica)
{
  EntryTestFleet fleet(TwoZones(1));
  LeaveOneHolder(fleet);
  fleet.AwaitReady();
  fleet.mEngines[0]->mRateLimit = kLimit;
  SendFor(fleet, Seconds(8), fleet.Instances());
  EXPECT_EQ(1u, fleet.mEngines[1]->mModels.count("m0"));
}

// Guards against a limit that outlives the server's need.
TEST(RateLimit, EndsWithTheFirstAnswerWithoutIt)
{
  EntryTestFleet fleet(TwoZones(1));
  fleet.mEngines.pop_back();
  fleet.mStore->Remove(wire::kServersKind, "engine-b0");
  fleet.AwaitReady();
  fleet.mEngines[0]->mRateLimit = kLimit;
  SendFor(fleet, Seconds(5), fleet.Instances());
  fleet.mEngines[0]->mRateLimit.clear();
  fleet.RunFor(Seconds(4));
  SendFor(fleet, Seconds(5), fleet.Instances());
  auto calls = SendFor(fleet, Seconds(3), fleet.Instances());
  EXPECT_EQ(static_cast<int>(calls.size()), Count(calls).mServed);
}

// Guards against a figure that can't be meant and is taken for a limit.
TEST(RateLimit, GarbledLimitsAreIgnored)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  int sent = 0;
  for (const char* text : { "0", "-1", "1e99", "nan", "inf", "few", "1.4x" }) {
    fleet.mEngines[0]->mRateLimit = text;
    for (int i = 0; i < 12; ++i) {
      std::string id = "r" + std::to_string(++sent);
      EXPECT_EQ(200, fleet.Call(0, "/stream/stream", id, kModel)->mStatus)
        << text;
    }
  }
}

} // namespace caraway
