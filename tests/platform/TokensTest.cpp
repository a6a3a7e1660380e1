// Limits of a tenant's rate and burst in tokens over all instances.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

EntryFleetOptions
ThreeInstances()
{
  EntryFleetOptions options;
  options.mInstances = 3;
  return options;
}

std::vector<HttpField>
Cost(int aTokens)
{
  return { { wire::kTokens, std::to_string(aTokens) + ",0" } };
}

// Sets the first tenant's rate and burst at all instances, and waits until the
// buckets are full.
void
Limit(EntryTestFleet& aFleet, int aTokens)
{
  aFleet.mConfig["tenants"][0]["ratePerS"] = aTokens;
  aFleet.mConfig["tenants"][0]["burst"] = aTokens;
  aFleet.Configure();
  aFleet.AwaitReady();
  aFleet.RunFor(Millis(2500));
}

} // namespace

// A tenant sends several times its rate to all instances: what runs stays
// within rate and burst, and refusals have a retry-after time.
TEST(Tokens, FloodIsLimitedToRateAndBurst)
{
  EntryTestFleet fleet(ThreeInstances());
  Limit(fleet, 20000);
  TimePoint begin = fleet.mClock.Now();
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < 300; ++i) {
    calls.push_back(fleet.Send(static_cast<size_t>(i % 3),
                               "/order/x",
                               "r" + std::to_string(i),
                               Cost(1000)));
    fleet.RunFor(Millis(5));
  }
  fleet.RunFor(Millis(300));
  double seconds =
    std::chrono::duration<double>(fleet.mClock.Now() - begin).count();
  int served = 0;
  for (const TestCallPtr& call : calls) {
    served += call->mStatus == 200 ? 1 : 0;
    if (call->mStatus != 200) {
      EXPECT_EQ(429, call->mStatus);
      EXPECT_NE("", call->Field(wire::kRetryAfter));
    }
  }
  EXPECT_LE(served, 20 + 20 * seconds);
  // Dividing the limit among instances must not lose much of it.
  EXPECT_GE(served, 0.7 * 20 * seconds);
}

// All requests of a tenant reach one instance, which may use far more than an
// even part of the limit.
TEST(Tokens, OneInstanceMayUseMoreThanAnEvenPart)
{
  EntryTestFleet fleet(ThreeInstances());
  Limit(fleet, 30000);
  int served = 0;
  for (int i = 0; i < 18; ++i) {
    served +=
      fleet.Call(0, "/order/x", "r" + std::to_string(i), Cost(1000))->mStatus ==
      200;
  }
  // An even third of the burst would admit ten.
  EXPECT_EQ(18, served);
}

// All requests of a tenant reach one instance of three and use nearly the full
// rate for seconds. The parts of the other instances must be usable, too.
TEST(Tokens, RateOfIdleInstancesIsUsed)
{
  EntryTestFleet fleet(ThreeInstances());
  Limit(fleet, 30000);
  constexpr int kRequests = 170;
  std::vector<TestCallPtr> calls;
  for (int i = 0; i < kRequests; ++i) {
    calls.push_back(
      fleet.Send(0, "/order/x", "r" + std::to_string(i), Cost(1000)));
    fleet.RunFor(Millis(35));
  }
  fleet.RunFor(Millis(500));
  int served = 0;
  for (const TestCallPtr& call : calls) {
    served += call->mStatus == 200 ? 1 : 0;
  }
  // Two thirds of rate and burst would be 140.
  EXPECT_GE(served, kRequests * 95 / 100);
}

// A request that all servers reject is refused with the guarantee that it did
// not run, and its tokens are refunded: the tenant's next request, to a working
// service, is not refused by rate. The first request costs more than an
// instance's own part, so that some of its tokens are borrowed.
TEST(Tokens, RequestThatDidNotRunIsRefunded)
{
  EntryFleetOptions options;
  options.mInstances = 2;
  EntryTestFleet fleet(options);
  fleet.mEngines[0]->mModels = { { "m1", {} } };
  fleet.List(*fleet.mEngines[0], "engine", "a");
  fleet.mConfig["tenants"][0]["ratePerS"] = 6000;
  fleet.mConfig["tenants"][0]["burst"] = 6000;
  fleet.Configure();
  fleet.AwaitReady();
  fleet.RunFor(Millis(1500));
  for (auto& server : fleet.mPlain) {
    server->mBehaviour = ServerBehaviour::Refuses;
  }
  TestCallPtr refused = fleet.Call(0, "/order/x", "r1", Cost(5500));
  EXPECT_EQ(503, refused->mStatus);
  TestCallPtr next =
    fleet.Call(1,
               "/stream/x",
               "r2",
               { { wire::kTokens, "5500,0" }, { wire::kModel, "m1" } });
  EXPECT_EQ(200, next->mStatus);
}

// The limit of a small tenant is held by one instance of each zone. When the
// holder of one zone is killed, that of the other zone still grants its part,
// so that the tenant is not refused altogether.
TEST(Tokens, KilledTokenHolderCostsOnlyItsZonePart)
{
  EntryFleetOptions options;
  options.mZones = { "a", "b" };
  options.mInstances = 2;
  EntryTestFleet fleet(options);
  Limit(fleet, 6000);
  size_t holder = fleet.LogLines(0, "lease_taken") > 0 ? 0 : 1;
  fleet.mInstances[holder].reset(); // killed; its lease lasts for seconds
  fleet.RunFor(Millis(2000));
  int served = 0;
  for (int i = 0; i < 5; ++i) {
    served +=
      fleet.Call(1 - holder, "/order/x", "r" + std::to_string(i), Cost(500))
        ->mStatus == 200;
  }
  EXPECT_EQ(5, served);
}

// A request above the burst is admitted when the bucket is full. The debt
// delays the tenant's next requests for seconds.
TEST(Tokens, RequestAboveTheBurstIsAdmittedOnce)
{
  EntryTestFleet fleet;
  Limit(fleet, 1000);
  EXPECT_EQ(200, fleet.Call(0, "/order/x", "r1", Cost(3000))->mStatus);
  EXPECT_EQ(429, fleet.Call(0, "/order/x", "r2", Cost(500))->mStatus);
}

} // namespace caraway
