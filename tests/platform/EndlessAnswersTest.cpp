// Servers in trouble send bytes without end, in a head or a body, until the
// caller closes. An instance gives up soon, and what it keeps is bounded.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

// An instance keeps at most 4 MB of an answer; what is in sockets' buffers
// comes on top.
constexpr long kMostBytes = 12 << 20;

// Of the 3 s that the request has.
constexpr Millis kGivenUpWithin{ 2000 };

// Long enough for a server that is still read from to show it.
constexpr Millis kAfterwards{ 500 };

class EndlessAnswers : public testing::TestWithParam<ServerBehaviour>
{};

} // namespace

// Guards against an instance that reads an answer without end until its
// caller's deadline, and keeps all of it.
TEST_P(EndlessAnswers, PlainRequestIsGivenUpSoon)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  for (auto& server : fleet.mPlain) {
    server->mBehaviour = GetParam();
  }
  TestCallPtr call = fleet.Call(0, "/order/x", "e1");
  EXPECT_EQ(502, call->mStatus);
  EXPECT_LT(call->mCompleteAt - call->mSentAt, kGivenUpWithin);
  long sent = 0;
  long later = 0;
  for (auto& server : fleet.mPlain) {
    sent += server->mEndlessBytes;
  }
  EXPECT_LT(sent, kMostBytes);
  fleet.RunFor(kAfterwards);
  for (auto& server : fleet.mPlain) {
    later += server->mEndlessBytes;
  }
  EXPECT_LT(later - sent, 1 << 20);
}

// The same for a route that streams.
TEST_P(EndlessAnswers, ResumableStreamIsGivenUpSoon)
{
  EntryFleetOptions options;
  options.mEngines = 2;
  EntryTestFleet fleet(options);
  fleet.AwaitReady();
  for (auto& engine : fleet.mEngines) {
    engine->mBehaviour = GetParam();
  }
  TestCallPtr call =
    fleet.Call(0,
               "/resume/stream",
               "e1",
               { { wire::kModel, "m0" }, { wire::kTokens, "100,50" } });
  EXPECT_TRUE(call->mClosed || call->mStatus == 502);
  long sent = 0;
  for (auto& engine : fleet.mEngines) {
    sent += engine->mEndlessBytes;
  }
  EXPECT_LT(sent, 2 * kMostBytes); // of two servers
}

INSTANTIATE_TEST_SUITE_P(All,
                         EndlessAnswers,
                         testing::Values(ServerBehaviour::EndlessInterim,
                                         ServerBehaviour::EndlessHead,
                                         ServerBehaviour::EndlessTrailer,
                                         ServerBehaviour::EndlessBody,
                                         ServerBehaviour::EndlessEvent,
                                         ServerBehaviour::EndlessForeign));

} // namespace caraway
