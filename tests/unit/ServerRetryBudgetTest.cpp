// When the retry budget allows the next retry. The load: three requests a
// second at this instance, of which servers reject one in ten.

#include <gtest/gtest.h>

#include "decide/ServerRetryBudget.h"

namespace caraway {

namespace {

const std::string kService = "engine";
constexpr int kInstances = 80;
const TimePoint kStart{ Seconds(1000) };
constexpr ServerRetryLimits kLimits{ 0.2, 0, Seconds(10) };

} // namespace

// Guards against a request that waits for a retry which isn't coming, and
// against one that is refused though it could be sent again at once.
TEST(ServerRetryBudget, TellsWhetherThereWillBeARetry)
{
  ServerRetryBudget budget(kLimits);
  EXPECT_FALSE(budget.NextAt(kService, kInstances, kStart));
  for (int i = 0; i < 30; ++i) {
    budget.OnRequest(kService, kStart);
  }
  EXPECT_EQ(kStart, budget.NextAt(kService, kInstances, kStart));
  while (budget.Spend(kService, kInstances, kStart)) {
  }
  TimePoint later = kStart + Seconds(1);
  EXPECT_FALSE(budget.Spend(kService, kInstances, later));
  budget.OnRequest(kService, later);
  auto next = budget.NextAt(kService, kInstances, later);
  ASSERT_TRUE(next);
  EXPECT_GE(later + Seconds(9), *next);
}

// Guards against a forecast after the time at which the budget allows the
// retry: the caller would be refused for nothing.
TEST(ServerRetryBudget, ForetoldTimeIsNotLate)
{
  ServerRetryBudget budget(kLimits);
  TimePoint now = kStart;
  TimePoint foretold{};
  int spent = 0;
  for (int i = 0; i < 1200; ++i) {
    now += Millis(100);
    if (i % 3 == 0) {
      budget.OnRequest(kService, now);
    }
    if (i > 100 && budget.Spend(kService, kInstances, now)) {
      ++spent;
      EXPECT_LE(foretold, now);
      foretold = TimePoint();
    } else if (i > 100 && foretold == TimePoint()) {
      foretold = budget.NextAt(kService, kInstances, now).value_or(TimePoint());
    }
  }
  EXPECT_GE(spent, 30);
}

} // namespace caraway
