// PlatformCounts.h: counters of platform calls by operation.
#ifndef caraway_platform_PlatformCounts_h
#define caraway_platform_PlatformCounts_h

#include <atomic>
#include <cstdint>

namespace caraway {

struct PlatformCounts
{
  std::atomic<int64_t> mReads{ 0 };
  std::atomic<int64_t> mLists{ 0 };
  std::atomic<int64_t> mWrites{ 0 };
  std::atomic<int64_t> mWatches{ 0 };
  std::atomic<int64_t> mFailures{ 0 }; // no answer, or a 5xx status
  // Calls not made because the budget was used up.
  std::atomic<int64_t> mOverBudget{ 0 };
};

} // namespace caraway

#endif
