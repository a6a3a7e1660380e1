#include <gtest/gtest.h>
#include <set>

#include "caraway/ErrorKind.h"

namespace caraway {

// Guards against a kind without a row in the table: it would be answered as an
// internal error, and a refusal would say "may have run" although nothing ran.
TEST(ErrorKind, EveryKindHasItsOwnRow)
{
  std::set<std::string> names;
  for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
    const ErrorAnswer& answer = ErrorAnswerOf(static_cast<ErrorKind>(i));
    EXPECT_EQ(static_cast<int>(answer.mKind), i);
    EXPECT_TRUE(names.insert(answer.mName).second) << answer.mName;
    EXPECT_EQ(ErrorKindOf(answer.mName), answer.mKind);
    EXPECT_GE(answer.mStatus, 400);
  }
}

} // namespace caraway
