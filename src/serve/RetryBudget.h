// RetryBudget.h: retries as a share of successes.
#ifndef caraway_serve_RetryBudget_h
#define caraway_serve_RetryBudget_h

#include <algorithm>
#include <mutex>

namespace caraway {

// When everything fails, retries multiply the load on what is left. Each
// success pays for a tenth of a retry; with nothing saved there is none.
class RetryBudget
{
public:
  void Succeeded()
  {
    std::lock_guard<std::mutex> lock(mLock);
    mSaved = std::min(kMost, mSaved + kPerSuccess);
  }
  bool Spend()
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (mSaved < 1) {
      return false;
    }
    mSaved -= 1;
    return true;
  }

private:
  static constexpr double kMost = 10;
  static constexpr double kPerSuccess = 0.1;
  std::mutex mLock;
  double mSaved = kMost;
};

} // namespace caraway

#endif
