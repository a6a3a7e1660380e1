// ServerViewLimits.cpp: limits that servers name for all instances together,
// and rejections.
#include "decide/ServerView.h"

#include <algorithm>

namespace caraway {

namespace {

// A server that reports its pace and rejects a request for want of room counts
// as full for this time, whatever it reports.
constexpr Millis kRejectedTime{ 200 };

} // namespace

void
ServerView::OnRejectionLimit(const std::string& aId,
                             std::optional<double> aLimit,
                             TimePoint aAskedAt)
{
  if (Backend* backend = Find(aId)) {
    backend->mRejectionLimit.OnAnswer(aLimit, aAskedAt);
  }
}

void
ServerView::OnRateLimit(const std::string& aId,
                        std::optional<double> aLimit,
                        TimePoint aAskedAt)
{
  if (Backend* backend = Find(aId)) {
    backend->mRateLimit.OnAnswer(aLimit, aAskedAt);
    if (!backend->mRateLimit) {
      backend->mRatePermits.clear();
    }
  }
}

void
ServerView::OnRatePermit(const std::string& aId, TimePoint aAt)
{
  if (Backend* backend = Find(aId)) {
    auto& permits = backend->mRatePermits;
    permits.insert(std::upper_bound(permits.begin(), permits.end(), aAt), aAt);
  }
}

size_t
ServerView::RateLimitedServers() const
{
  return static_cast<size_t>(
    std::count_if(mBackends.begin(), mBackends.end(), [](const auto& aEntry) {
      return static_cast<bool>(aEntry.second.mRateLimit);
    }));
}

void
ServerView::OnRejected(const std::string& aId, int aInstances, TimePoint aNow)
{
  Backend* backend = Find(aId);
  if (!backend) {
    return;
  }
  if (!backend->mRejectionLimit) {
    if (ReportsPace(backend->mEntry.mService)) {
      backend->mFullUntil = aNow + kRejectedTime;
    }
    return;
  }
  double seconds = std::max(1.0, aInstances / *backend->mRejectionLimit);
  backend->mFullUntil =
    aNow + Millis(static_cast<int64_t>(seconds * Millis(Seconds(1)).count()));
}

} // namespace caraway
