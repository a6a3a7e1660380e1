#include "decide/ServerLives.h"

#include <algorithm>
#include <limits>

#include "base/EraseIf.h"
#include "decide/LateOrders.h"

namespace caraway {

namespace {

// A restart is noticed up to this much later by one instance than by another.
constexpr Millis kNoticeLag{ 2000 };

constexpr Millis kMemory = LateOrders::kMaxOrderDelay + kNoticeLag;

// By this much the clocks of a server and an instance may differ.
constexpr Millis kClockError{ 5000 };

// Orders that a server accepted in one placement, before its content was sent
// to the other instances again.
constexpr int64_t kUntoldOrders = 4;

constexpr int64_t kAnyCount = std::numeric_limits<int64_t>::max();

} // namespace

void
ServerLives::Forget(TimePoint aNow)
{
  EraseIf(mLives, [aNow](const auto& aLife) {
    TimePoint unlisted = aLife.second.mUnlistedAt;
    return unlisted != TimePoint() && aNow - unlisted > kMemory;
  });
}

void
ServerLives::OnListed(const std::string& aServer,
                      int64_t aStartTime,
                      TimePoint aNow)
{
  if (mFollowedSince == TimePoint()) {
    mFollowedSince = aNow;
  }
  auto [at, added] = mLives.try_emplace(aServer);
  Life& life = at->second;
  life.mUnlistedAt = TimePoint();
  if (added) {
    life.mStartTime = aStartTime;
    life.mListedAt = aNow;
    life.mFormerKnown = mFirstStart || aNow - mFollowedSince >= kMemory;
    return;
  }
  if (life.mStartTime == aStartTime) {
    return;
  }
  FormerLife former{ aNow,
                     LowestLateCount(life, aNow),
                     HighestLateCount(life) };
  // Orders of the life before that one may come too.
  if (aNow - life.mListedAt < kMemory) {
    FormerLife before = life.mFormer.value_or(
      FormerLife{ aNow, 0, life.mFormerKnown ? 0 : kAnyCount });
    former.mLowestCount = std::min(former.mLowestCount, before.mLowestCount);
    former.mHighestCount = std::max(former.mHighestCount, before.mHighestCount);
  }
  life = Life();
  life.mStartTime = aStartTime;
  life.mListedAt = aNow;
  life.mFormerKnown = true;
  life.mFormer = former;
}

void
ServerLives::OnUnlisted(const std::string& aServer, TimePoint aNow)
{
  auto life = mLives.find(aServer);
  if (life != mLives.end()) {
    life->second.mUnlistedAt = aNow;
  }
  Forget(aNow);
}

void
ServerLives::OnOrderCount(const std::string& aServer,
                          int64_t aCount,
                          TimePoint aNow)
{
  auto found = mLives.find(aServer);
  if (found == mLives.end()) {
    return;
  }
  Life& life = found->second;
  life.mLastCount = std::max(life.mLastCount, aCount);
  if (aNow - life.mCountAt < kMemory) {
    return;
  }
  life.mCountBefore = life.mCount;
  life.mCount = aCount;
  life.mCountAt = aNow;
}

// Orders that may still come were sent within kMemory, under a count of that
// time or a later one.
int64_t
ServerLives::LowestLateCount(const Life& aLife, TimePoint aNow)
{
  return aNow - aLife.mCountAt >= kMemory ? aLife.mCount : aLife.mCountBefore;
}

// A late order was sent under a count that its life had reached.
int64_t
ServerLives::HighestLateCount(const Life& aLife)
{
  return aLife.mLastCount < 0 ? kAnyCount : aLife.mLastCount + kUntoldOrders;
}

void
ServerLives::OnTold(const std::string& aServer,
                    int64_t aStartTime,
                    const std::optional<FormerLife>& aFormer)
{
  auto found = mLives.find(aServer);
  if (found != mLives.end() && found->second.mStartTime == aStartTime &&
      !found->second.mFormerKnown) {
    found->second.mFormerKnown = true;
    found->second.mFormer = aFormer;
  }
}

bool
ServerLives::Known(const std::string& aServer) const
{
  auto found = mLives.find(aServer);
  return found != mLives.end() && found->second.mFormerKnown;
}

std::optional<FormerLife>
ServerLives::Former(const std::string& aServer,
                    TimePoint aNow,
                    WallTime aWallNow) const
{
  auto found = mLives.find(aServer);
  if (found == mLives.end()) {
    return std::nullopt;
  }
  const Life& life = found->second;
  std::optional<FormerLife> former = life.mFormer;
  if (!life.mFormerKnown) {
    auto unixNow =
      std::chrono::duration_cast<Millis>(aWallNow.time_since_epoch());
    Millis age = unixNow - Millis(life.mStartTime) - kClockError;
    former = FormerLife{ aNow - std::max(age, Millis(0)), 0, kAnyCount };
  }
  bool recent = former && aNow - former->mEndedAt < kMemory;
  return recent ? former : std::nullopt;
}

} // namespace caraway
