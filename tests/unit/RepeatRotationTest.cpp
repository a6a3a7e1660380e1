#include <gtest/gtest.h>

#include <map>

#include "decide/RepeatRotation.h"

namespace caraway {

namespace {

constexpr Millis kTick{ 1000 };

const TimePoint kStart{ Seconds(1000) };

std::vector<std::string>
Names(int aCount)
{
  std::vector<std::string> names;
  for (int i = 0; i < aCount; ++i) {
    names.push_back("server-" + std::to_string(100 + i));
  }
  return names;
}

} // namespace

// Guards against a state that was lost on its way and isn't sent again, or is
// sent so late that its receivers act on an old one for minutes.
TEST(RepeatRotation, EachNameComesOnceARound)
{
  constexpr Seconds kRound{ 40 };
  RepeatRotation rotation;
  std::map<std::string, int> seen;
  rotation.Due(Names(32), kRound, kStart);
  for (TimePoint at = kStart + kTick; at <= kStart + kRound; at += kTick) {
    for (const std::string& name : rotation.Due(Names(32), kRound, at)) {
      ++seen[name];
    }
  }
  EXPECT_GE(seen.size(), 31u); // the last one may be due with the next tick
  for (const auto& [name, count] : seen) {
    EXPECT_EQ(count, 1) << name;
  }
}

// Guards against all repeats at once on a narrow link.
TEST(RepeatRotation, RepeatsAreSpread)
{
  constexpr Seconds kRound{ 40 };
  RepeatRotation rotation;
  for (TimePoint at = kStart; at < kStart + 3 * kRound; at += kTick) {
    EXPECT_LE(rotation.Due(Names(32), kRound, at).size(), 1u);
  }
}

// Guards against more than one copy of each after a pause.
TEST(RepeatRotation, PauseOwesOneRoundAtMost)
{
  RepeatRotation rotation;
  rotation.Due(Names(5), kTick, kStart);
  EXPECT_EQ(rotation.Due(Names(5), kTick, kStart + Seconds(60)).size(), 5u);
  EXPECT_TRUE(rotation.Due({}, kTick, kStart + Seconds(61)).empty());
}

} // namespace caraway
