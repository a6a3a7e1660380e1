// ServerViewCold.cpp: which servers are cold, and the requests that they get.
#include "decide/ServerView.h"

#include <algorithm>

namespace caraway {

namespace {

// Clocks of servers and instances may differ by this much: a server that seems
// to have started longer ago by it may just have started.
constexpr Millis kClockDifference{ 2000 };

// A start longer ago is of no interest to any service.
constexpr Millis kLongAgo{ 3600 * 1000 };

} // namespace

ColdSpec
ServerView::ColdSpecOf(const std::string& aService) const
{
  auto found = mColdSpecs.find(aService);
  return found == mColdSpecs.end() ? ColdSpec() : found->second;
}

// A changed start time is news, whatever the clocks say. Of a server that is
// listed for the first time here the clocks tell when it started.
void
ServerView::ReadStart(Backend& aBackend,
                      bool aAdded,
                      int64_t aStartBefore,
                      TimePoint aNow)
{
  if (!aAdded && aStartBefore == aBackend.mEntry.mStartTime) {
    return;
  }
  aBackend.mColdUntil = TimePoint();
  aBackend.mColdKnownAt = aNow;
  Millis ago = aAdded ? aBackend.mEntry.mRunningFor : Millis(0);
  aBackend.mStartedAt.reset();
  if (ago < kLongAgo) {
    aBackend.mStartedAt = aNow - std::max(ago - kClockDifference, Millis(0));
  }
}

// Entries arrive late, so one can only lengthen the time.
void
ServerView::ReadColdLeft(Backend& aBackend, TimePoint aNow)
{
  Millis left = aBackend.mEntry.mColdLeft.value_or(Millis(0));
  if (left > Millis(0) && aNow + left > aBackend.mColdUntil) {
    aBackend.mColdUntil = aNow + left;
    aBackend.mColdKnownAt = aNow;
  }
}

void
ServerView::OnColdReport(const std::string& aId,
                         Millis aLeft,
                         TimePoint aAskedAt,
                         TimePoint aNow)
{
  Backend* backend = Find(aId);
  if (!backend) {
    return;
  }
  bool newer = aAskedAt >= backend->mColdKnownAt;
  if (newer) {
    backend->mStartedAt.reset();
  }
  if (newer || aNow + aLeft > backend->mColdUntil) {
    backend->mColdUntil = aNow + aLeft;
    backend->mColdKnownAt = aNow;
  }
}

void
ServerView::AssumeCold(const std::string& aZone, TimePoint aNow)
{
  for (auto& [id, backend] : mBackends) {
    Millis start = ColdSpecOf(backend.mEntry.mService).mStart;
    if (backend.mEntry.mZone == aZone && start > Millis(0)) {
      backend.mColdUntil = std::max(backend.mColdUntil, aNow + start);
      // Answers to requests from before don't shorten it.
      backend.mColdKnownAt = std::max(backend.mColdKnownAt, aNow);
    }
  }
}

TimePoint
ServerView::ColdUntil(const Backend& aBackend, const ColdSpec& aSpec)
{
  return aBackend.mStartedAt
           ? std::max(aBackend.mColdUntil, *aBackend.mStartedAt + aSpec.mStart)
           : aBackend.mColdUntil;
}

size_t
ServerView::ColdServers(TimePoint aNow) const
{
  return static_cast<size_t>(
    std::count_if(mBackends.begin(), mBackends.end(), [&](const auto& aEntry) {
      return aNow < ColdUntil(aEntry.second);
    }));
}

bool
ServerView::HasColdPermit(const Backend& aBackend,
                          const ColdSpec& aSpec,
                          TimePoint aNow,
                          ServerChoice& aChoice)
{
  if (aSpec.mPerSecond <= 0) {
    return true;
  }
  auto next = mColdLimit.NextPermit(
    aBackend.mEntry.mId, aBackend.mEntry.mZone, aSpec.mPerSecond, aNow);
  if (next && *next <= aNow) {
    return true;
  }
  TimePoint opensAt = ColdUntil(aBackend, aSpec);
  opensAt = next ? std::min(opensAt, *next) : opensAt;
  aChoice.mColdOpensAt =
    std::min(aChoice.mColdOpensAt.value_or(TimePoint::max()), opensAt);
  return false;
}

} // namespace caraway
