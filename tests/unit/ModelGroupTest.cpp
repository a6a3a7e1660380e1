#include <gtest/gtest.h>

#include "own/ModelGroup.h"

namespace caraway {

// Guards against refused bulletins on a slow engine: at a tenth of its speed,
// with chat in all slots, every request lasts longer than a bulletin's
// deadline. Without a reserved slot four of five bulletins are refused.
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

// Guards against a small engine whose only slot is kept free for bulletins. An
// engine with a single slot serves every class. With two slots batch work may
// use one, and no slot is reserved for bulletins.
TEST(ModelGroup, FewSlotsReserveNoneForBulletins)
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
