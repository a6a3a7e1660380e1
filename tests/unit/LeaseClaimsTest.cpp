#include <gtest/gtest.h>

#include "decide/LeaseClaims.h"

namespace caraway {

namespace {

constexpr Millis kLife{ 1500 };

const TimePoint kStart{ Seconds(1000) };

} // namespace

// Guards against a zone that is left without orders because its dead lease
// holder is still believed.
TEST(LeaseClaims, ClaimThatIsNotRepeatedLapses)
{
  LeaseClaims claims;
  claims.OnClaim("i1", "zone-a", kStart);
  EXPECT_EQ(claims.HolderOf("zone-a", kLife, kStart + Millis(1400)), "i1");
  EXPECT_EQ(claims.HolderOf("zone-a", kLife, kStart + Millis(1500)), "");
}

// Guards against load requests to the former holder after a takeover.
TEST(LeaseClaims, LastClaimCounts)
{
  LeaseClaims claims;
  claims.OnClaim("i1", "zone-a", kStart);
  claims.OnClaim("i2", "zone-a", kStart + Millis(10));
  EXPECT_EQ(claims.HolderOf("zone-a", kLife, kStart + Millis(20)), "i2");
}

// Guards against requests to a holder that has released its lease or was
// restarted.
TEST(LeaseClaims, HeartbeatWithoutTheLeaseEndsTheClaim)
{
  LeaseClaims claims;
  claims.OnHeartbeat("i1", { "zone-a", "zone-b" }, kStart);
  claims.OnHeartbeat("i2", {}, kStart);
  claims.OnHeartbeat("i1", { "zone-b" }, kStart);
  EXPECT_EQ(claims.HolderOf("zone-a", kLife, kStart), "");
  EXPECT_EQ(claims.HolderOf("zone-b", kLife, kStart), "i1");
  claims.Forget("i1");
  EXPECT_EQ(claims.HolderOf("zone-b", kLife, kStart), "");
}

} // namespace caraway
