#include "net/KeptBytes.h"

#include <gtest/gtest.h>

namespace caraway {

// Guards against small keepers that pay for a large one.
TEST(KeptBytes, LargestIsGivenUpFirst)
{
  KeptBytes kept(100);
  std::string givenUp;
  KeptBytes::Id small = kept.Add([&] { givenUp += "small "; });
  KeptBytes::Id large = kept.Add([&] { givenUp += "large "; });
  kept.Set(large, 80);
  kept.Set(small, 20);
  EXPECT_EQ("", givenUp);
  kept.Set(small, 30);
  EXPECT_EQ("large ", givenUp);
  EXPECT_EQ(30u, kept.Total());
  kept.Set(large, 90); // no longer counted
  EXPECT_EQ(30u, kept.Total());
  kept.Remove(small);
  EXPECT_EQ(0u, kept.Total());
  EXPECT_EQ(1, kept.GivenUp());
}

// Guards against a bound that one keeper alone exceeds.
TEST(KeptBytes, OnlyKeeperIsGivenUp)
{
  KeptBytes kept(100);
  bool givenUp = false;
  KeptBytes::Id one = kept.Add([&] { givenUp = true; });
  kept.Set(one, 101);
  EXPECT_TRUE(givenUp);
  EXPECT_EQ(0u, kept.Total());
}

} // namespace caraway
