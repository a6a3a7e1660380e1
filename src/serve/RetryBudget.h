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
  void RecordSuccess()
  {
    std::lock_guard<std::mutex> lock(mLock);
    mAvailable = std::min(kMaxRetries, mAvailable + kRetriesPerSuccess);
  }
  bool TryTake()
  {
    std::lock_guard<std::mutex> lock(mLock);
    if (mAvailable < 1) {
      return false;
    }
    mAvailable -= 1;
    return true;
  }

private:
  static constexpr double kMaxRetries = 10;
  static constexpr double kRetriesPerSuccess = 0.1;
  std::mutex mLock;
  double mAvailable = kMaxRetries;
};

} // namespace caraway

#endif
