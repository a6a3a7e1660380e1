#include "decide/WorkPacer.h"

#include <gtest/gtest.h>

namespace caraway {

namespace {

const TimePoint kStart{ Seconds(1000) };

} // namespace

// Guards against a lease holder that spends all its time on passes over a long
// queue.
TEST(WorkPacer, LongPassesTakeTheirPartOfTheTimeOnly)
{
  WorkPacer pacer(5);
  EXPECT_TRUE(pacer.MayBegin(kStart));
  pacer.OnPass(kStart, kStart + Millis(20));
  EXPECT_FALSE(pacer.MayBegin(kStart + Millis(99)));
  EXPECT_TRUE(pacer.MayBegin(kStart + Millis(100)));
}

TEST(WorkPacer, ShortPassesHoldNobodyUp)
{
  WorkPacer pacer(5);
  pacer.OnPass(kStart, kStart);
  EXPECT_TRUE(pacer.MayBegin(kStart));
}

// Guards against loads that wait for many seconds because the process stood
// still during a pass.
TEST(WorkPacer, PauseAfterAStandstillIsBounded)
{
  WorkPacer pacer(5);
  TimePoint ended = kStart + Seconds(4);
  pacer.OnPass(kStart, ended);
  EXPECT_FALSE(pacer.MayBegin(ended));
  EXPECT_TRUE(pacer.MayBegin(ended + WorkPacer::kMaxPause));
}

} // namespace caraway
