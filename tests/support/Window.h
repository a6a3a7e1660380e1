// Window.h: maximum excess of spent tokens over a rate and burst, over all
// windows.
#ifndef caraway_tests_Window_h
#define caraway_tests_Window_h

#include <algorithm>
#include <vector>

#include "caraway/Time.h"

namespace caraway {

struct WindowSpend
{
  TimePoint mAt;
  double mTokens;
};

// Positive if some window had more than burst + rate x length. aSpends is in
// order of time.
inline double
WindowExcess(const std::vector<WindowSpend>& aSpends,
             double aRate,
             double aBurst)
{
  double worst = -aBurst;
  // Running maximum over all i <= j of the tokens spent from i to j, less rate
  // x time.
  double run = 0;
  for (size_t j = 0; j < aSpends.size(); ++j) {
    if (j > 0) {
      double seconds =
        std::chrono::duration<double>(aSpends[j].mAt - aSpends[j - 1].mAt)
          .count();
      run = std::max(0.0, run - aRate * seconds);
    }
    run += aSpends[j].mTokens;
    worst = std::max(worst, run - aBurst);
  }
  return worst;
}

} // namespace caraway

#endif
