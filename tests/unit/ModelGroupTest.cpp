#include <gtest/gtest.h>

#include "own/ModelGroup.h"

namespace caraway {

// An engine runs at a tenth of its speed and chat holds all its places: each
// request lasts longer than a bulletin's time. The bulletin finds the place
// that was kept for it; without that, four of five bulletins were refused.
TEST(ModelGroup, LastSlotIsReservedForBulletins)
{
  ServingReplica replica;
  replica.mEndpoint.mSlots = 8;
  EXPECT_EQ(ModelGroupAdmissibleClass(replica), RequestClass::Batch);
  replica.mInFlight = 6;
  replica.mBatchInFlight = 6;
  EXPECT_EQ(ModelGroupAdmissibleClass(replica), RequestClass::Interactive);
  replica.mBatchInFlight = 0;
  EXPECT_EQ(ModelGroupAdmissibleClass(replica), RequestClass::Batch);
  replica.mInFlight = 7;
  EXPECT_EQ(ModelGroupAdmissibleClass(replica), RequestClass::Urgent);
}

// An engine with one place serves every class with it.
TEST(ModelGroup, NothingIsReservedWithFewSlots)
{
  ServingReplica replica;
  replica.mEndpoint.mSlots = 1;
  EXPECT_EQ(ModelGroupAdmissibleClass(replica), RequestClass::Batch);
  replica.mEndpoint.mSlots = 2;
  replica.mInFlight = 1;
  EXPECT_EQ(ModelGroupAdmissibleClass(replica), RequestClass::Batch);
  replica.mBatchInFlight = 1;
  EXPECT_EQ(ModelGroupAdmissibleClass(replica), RequestClass::Interactive);
}

} // namespace caraway
