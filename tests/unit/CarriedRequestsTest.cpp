// Guards against an answer to one send that is read as the answer to another.

#include <gtest/gtest.h>

#include "decide/CarriedRequests.h"

namespace caraway {

namespace {

const TimePoint kStart = TimePoint() + Seconds(100);

RequestIdentity
Named(const std::string& aId)
{
  return { AnswerIdentity::RequestId, aId, kStart + Seconds(2) };
}

const RequestIdentity kUnnamed{};
const RequestIdentity kTrusted{ AnswerIdentity::Trusted, "", TimePoint() };

} // namespace

TEST(CarriedRequests, NoSecondSendOfARequestOnAConnection)
{
  CarriedRequests carried;
  carried.Add(Named("a"), kStart);
  carried.Add(Named("b"), kStart);
  EXPECT_FALSE(carried.MayCarry(Named("a")));
  EXPECT_FALSE(carried.MayCarry(Named("b")));
  EXPECT_TRUE(carried.MayCarry(Named("c")));
  EXPECT_TRUE(carried.Reusable());
}

TEST(CarriedRequests, RequestIsRememberedUntilNobodySendsIt)
{
  CarriedRequests carried;
  carried.Add(Named("a"), kStart);
  carried.Add(Named("b"), kStart + Seconds(2));
  EXPECT_FALSE(carried.MayCarry(Named("a")));
  carried.Add(Named("c"), kStart + Seconds(60));
  EXPECT_TRUE(carried.MayCarry(Named("a")));
}

TEST(CarriedRequests, UnnamedRequestSharesItsConnectionWithNone)
{
  CarriedRequests carried;
  EXPECT_TRUE(carried.MayCarry(kUnnamed));
  carried.Add(Named("a"), kStart);
  EXPECT_FALSE(carried.MayCarry(kUnnamed));
  CarriedRequests unnamed;
  unnamed.Add(kUnnamed, kStart);
  EXPECT_FALSE(unnamed.MayCarry(Named("a")));
  EXPECT_FALSE(unnamed.MayCarry(kUnnamed));
  EXPECT_FALSE(unnamed.Reusable());
}

TEST(CarriedRequests, TrustedAnswersNeedNoName)
{
  CarriedRequests carried;
  carried.Add(kTrusted, kStart);
  EXPECT_TRUE(carried.MayCarry(kTrusted));
  EXPECT_TRUE(carried.Reusable());
}

} // namespace caraway
