// What is kept of listed briefings that have no object.

#include <gtest/gtest.h>

#include "caraway/PausedClock.h"
#include "serve/BriefingSteps.h"
#include "support/MemoryPlatform.h"

namespace caraway {

namespace {

bool
Process(BriefingSteps& aSteps, const std::string& aId)
{
  return aSteps.Process(aId, [](const Briefing&) { return std::nullopt; });
}

} // namespace

// Guards against memory that grows with each briefing that was listed before it
// was stored, and was dropped from the list by another instance.
TEST(BriefingSteps, MissingBriefingsOfLongAgoAreForgotten)
{
  PausedClock clock;
  MemoryPlatform platform;
  BriefingStore store(platform);
  BriefingSteps steps(store, clock);
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(Process(steps, "b" + std::to_string(i)));
  }
  clock.Advance(std::chrono::hours(1));
  EXPECT_FALSE(Process(steps, "last"));
  EXPECT_EQ(1u, steps.Missing());
}

// Guards against dropping a briefing from its list that is still being stored,
// and against one that is never dropped.
TEST(BriefingSteps, MissingBriefingIsDroppedAfterItsGrace)
{
  PausedClock clock;
  MemoryPlatform platform;
  BriefingStore store(platform);
  BriefingSteps steps(store, clock);
  EXPECT_FALSE(Process(steps, "b"));
  clock.Advance(Seconds(599));
  EXPECT_FALSE(Process(steps, "b"));
  clock.Advance(Seconds(2));
  EXPECT_TRUE(Process(steps, "b"));
}

} // namespace caraway
