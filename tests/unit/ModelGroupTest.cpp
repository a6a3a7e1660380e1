#include <gtest/gtest.h>

#include "own/ModelGroup.h"

namespace caraway {

// An engine runs at a tenth of its speed and chat holds all its places: each
// request lasts longer than a bulletin's time. The bulletin finds the place
// that was kept for it; without that, four of five bulletins were refused.
TEST(ModelGroup, TheLastPlaceIsForBulletins)
{
  ServingReplica serving;
  serving.mEndpoint.mSlots = 8;
  EXPECT_EQ(ModelGroupAdmissibleClass(serving), RequestClass::Batch);
  serving.mInFlight = 6;
  serving.mBatchInFlight = 6;
  EXPECT_EQ(ModelGroupAdmissibleClass(serving), RequestClass::Interactive);
  serving.mBatchInFlight = 0;
  EXPECT_EQ(ModelGroupAdmissibleClass(serving), RequestClass::Batch);
  serving.mInFlight = 7;
  EXPECT_EQ(ModelGroupAdmissibleClass(serving), RequestClass::Urgent);
}

// An engine with one place serves every class with it.
TEST(ModelGroup, FewPlacesAreNotKeptIdle)
{
  ServingReplica serving;
  serving.mEndpoint.mSlots = 1;
  EXPECT_EQ(ModelGroupAdmissibleClass(serving), RequestClass::Batch);
  serving.mEndpoint.mSlots = 2;
  serving.mInFlight = 1;
  EXPECT_EQ(ModelGroupAdmissibleClass(serving), RequestClass::Batch);
  serving.mBatchInFlight = 1;
  EXPECT_EQ(ModelGroupAdmissibleClass(serving), RequestClass::Interactive);
}

} // namespace caraway
