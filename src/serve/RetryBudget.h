// RetryBudget.h: limits retries to a fraction of successful calls.
#ifndef caraway_serve_RetryBudget_h
#define caraway_serve_RetryBudget_h

#include <algorithm>
#include <mutex>

namespace caraway {

// If every call fails, unlimited retries would multiply the load on the
// remaining endpoints. Each success earns a tenth of a retry; with less than
// one retry saved, none is made.
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
