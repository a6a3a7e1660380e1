// A faulty server sends an answer once more, late: where the answer to the next
// request on the connection is due.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

EntryFleetOptions
OnePlainServer()
{
  EntryFleetOptions options;
  options.mPlain = 1;
  return options;
}

} // namespace

// Guards against an order that another instance hands on once more, and that
// runs twice or gets "not run": a refusal of its first visit here is read as
// the answer to the second one's send.
TEST(SecondAnswers, OrderHandedOnAgainDoesNotReadTheAnswerToItsFirstVisit)
{
  EntryTestFleet fleet(OnePlainServer());
  fleet.AwaitReady();
  StandInServer& server = *fleet.mPlain[0];
  server.mRepeatedStatus = 503;
  int refused = 0;
  for (int i = 0; i < 8; ++i) {
    std::string id = "r" + std::to_string(i);
    server.mBehaviour = ServerBehaviour::Refuses;
    refused += fleet.HandOn(0, "/order/x", id)->mStatus == 503 ? 1 : 0;
    server.mBehaviour = ServerBehaviour::Proper;
    TestCallPtr again = fleet.HandOn(0, "/order/x", id);
    fleet.RunFor(Millis(50));
    EXPECT_EQ(again->mStatus == 200 ? 1 : 0, fleet.RunsOf(id)) << id;
  }
  EXPECT_GT(refused, 0);
}

// Guards against a read that a server ran well and whose caller gets the
// failure of the send before.
TEST(SecondAnswers, ReadSentAgainDoesNotReadTheFailureBefore)
{
  EntryTestFleet fleet(OnePlainServer());
  fleet.AwaitReady();
  StandInServer& server = *fleet.mPlain[0];
  server.mRepeatedStatus = 500;
  for (int i = 0; i < 8; ++i) {
    server.mFailures = 1;
    std::string id = "r" + std::to_string(i);
    EXPECT_EQ(200, fleet.Call(0, "/safe/x", id)->mStatus) << id;
    EXPECT_EQ(2, fleet.RunsOf(id)) << id;
  }
}

// Guards against an order or a report that is decided by the answer to another
// one: nothing in those answers tells them apart.
TEST(SecondAnswers, OrdersAndReportsReadNoneButTheirOwn)
{
  for (int status : { 200, 202, 409 }) {
    EntryFleetOptions options;
    options.mStep = Millis(5);
    EntryTestFleet fleet(options);
    StandInServer& engine = *fleet.mEngines[0];
    engine.mRepeatedStatus = status;
    engine.mUnloadTime = Millis(60);
    fleet.AwaitReady();
    for (const char* model : { "m5", "m6", "m7", "m8", "m5", "m6" }) {
      fleet.Call(0,
                 "/stream/stream",
                 std::string(model) + std::to_string(engine.mOrdersSeen),
                 { { wire::kModel, model }, { wire::kTokens, "100,50" } });
    }
    EXPECT_GT(engine.mOrdersSeen, 0);
    EXPECT_EQ(0, engine.mRepeats) << status;
  }
}

} // namespace caraway
