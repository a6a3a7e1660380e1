// When the retry budget allows the next retry. The load: three requests a
// second at this instance, and more rejections than the budget covers.

#include <gtest/gtest.h>

#include "decide/ServerRetryBudget.h"

namespace caraway {

// Guards against a forecast after the time at which the budget allows the
// retry: the caller would be refused for nothing.
TEST(ServerRetryBudget, ForetoldTimeIsNotLate)
{
  ServerRetryBudget budget({ 0.2, 0, Seconds(10) });
  TimePoint now{ Seconds(1000) };
  EXPECT_FALSE(budget.NextAt("engine", 80, now));
  TimePoint foretold{};
  int spent = 0;
  for (int i = 0; i < 1200; ++i) {
    now += Millis(100);
    if (i % 3 == 0) {
      budget.OnRequest("engine", now);
    }
    if (i > 100 && budget.Spend("engine", 80, now)) {
      ++spent;
      EXPECT_LE(foretold, now);
      foretold = TimePoint();
    } else if (i > 100 && foretold == TimePoint()) {
      foretold = budget.NextAt("engine", 80, now).value_or(TimePoint());
    }
  }
  EXPECT_GE(spent, 30);
}

} // namespace caraway
