// An instance whose event loop stands still for a while, as on a core that gets
// no processor time: what arrived meanwhile must not be taken as fresh.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"

namespace caraway {

namespace {

constexpr Millis kStandstill{ 600 };
constexpr Millis kSettled{ 300 };

// Guards against a request that runs for a caller whose deadline passed while
// the request lay unread in the accept queue.
TEST(HeldUp, RequestReadAfterItsDeadlineIsNotSent)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  fleet.mFrozen.insert(0);
  auto late = fleet.Send(0, "/safe/", "late", { { wire::kDeadline, "300" } });
  auto early =
    fleet.Send(0, "/safe/", "early", { { wire::kDeadline, "4000" } });
  fleet.RunFor(kStandstill);
  fleet.mFrozen.erase(0);
  fleet.RunFor(kSettled);
  EXPECT_EQ(0, fleet.RunsOf("late"));
  EXPECT_EQ(503, late->mStatus);
  EXPECT_EQ(1, fleet.RunsOf("early"));
  EXPECT_EQ(200, early->mStatus);
}

// Guards against a request that is sent after its deadline because the
// connection to its server was established while the loop stood still.
TEST(HeldUp, RequestIsNotSentOnAConnectionEstablishedTooLate)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  auto call = fleet.Send(0, "/safe/", "late", { { wire::kDeadline, "300" } });
  ASSERT_TRUE(fleet.RunUntil(
    [&] { return fleet.LogLines(0, "\"request_sent\"") > 0; }, Seconds(2)));
  fleet.mFrozen.insert(0);
  fleet.RunFor(kStandstill);
  fleet.mFrozen.erase(0);
  fleet.RunFor(kSettled);
  EXPECT_EQ(0, fleet.RunsOf("late"));
  EXPECT_EQ(503, call->mStatus);
}

// Guards against a standstill that leaves no trace in the log.
TEST(HeldUp, StandstillIsLogged)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  int before = fleet.LogLines(0, "\"loop_delayed\"");
  fleet.mFrozen.insert(0);
  fleet.RunFor(kStandstill);
  fleet.mFrozen.erase(0);
  fleet.RunFor(kSettled);
  EXPECT_GT(fleet.LogLines(0, "\"loop_delayed\""), before);
}

// Guards against an answer of the store that lay unread during a standstill and
// then counts as the newest state: denials by it would be outdated.
TEST(HeldUp, AnswerThatLayUnreadConfirmsNoMoreThanItSaid)
{
  EntryTestFleet fleet;
  fleet.AwaitReady();
  constexpr Millis kWatchTime{ 2000 };
  constexpr Millis kLongStandstill{ 4000 };
  const FeedFreshness& config = fleet.mInstances[0]->State().mConfigFreshness;
  fleet.mFrozen.insert(0);
  TimePoint beganAt = fleet.mClock.Now();
  fleet.RunFor(kLongStandstill);
  fleet.mFrozen.erase(0);
  fleet.mInstances[0]->RunPass(Millis(0));
  EXPECT_LE(config.ConfirmedAt() - beganAt, kWatchTime + Millis(100));
  fleet.RunFor(kSettled);
  EXPECT_GT(config.ConfirmedAt() - beganAt, kLongStandstill - Millis(100));
}

} // namespace

} // namespace caraway
