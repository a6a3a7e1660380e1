#include "serve/ClaimRegistry.h"

#include <functional>

namespace caraway {

namespace {

constexpr Seconds kRetention{ 900 };
// Limit for a shard's answer bodies. Entries without a body are small and are
// limited by count only.
constexpr size_t kMaxShardBytes = 2 * 1024 * 1024;
constexpr size_t kMaxShardEntries = 20000;

} // namespace

ClaimRegistry::ClaimRegistry(const Clock& aClock)
  : mClock(aClock)
{
}

ClaimRegistry::Shard&
ClaimRegistry::ShardFor(const std::string& aNonce)
{
  return mShards[std::hash<std::string>()(aNonce) % kShards];
}

void
ClaimRegistry::Begin(const std::string& aNonce)
{
  Shard& shard = ShardFor(aNonce);
  std::lock_guard<std::mutex> lock(shard.mLock);
  Entry& entry = shard.mEntries[aNonce];
  entry.mAttempt.mKnown = true;
}

void
ClaimRegistry::End(const std::string& aNonce, const AttemptStatus& aStatus)
{
  Shard& shard = ShardFor(aNonce);
  std::lock_guard<std::mutex> lock(shard.mLock);
  TimePoint now = mClock.Now();
  Entry& entry = shard.mEntries[aNonce];
  entry.mAttempt = aStatus;
  entry.mAttempt.mKnown = true;
  entry.mEnded = now;
  shard.mBytes += aStatus.mAnswer.mBody.size();
  shard.mEnded.emplace_back(now, aNonce);
  Evict(shard, now);
  shard.mChanged.notify_all();
}

void
ClaimRegistry::Evict(Shard& aShard, TimePoint aNow)
{
  while (!aShard.mEnded.empty()) {
    bool old = aNow - aShard.mEnded.front().first > kRetention;
    bool full =
      aShard.mBytes > kMaxShardBytes || aShard.mEnded.size() > kMaxShardEntries;
    if (!old && !full) {
      return;
    }
    auto entry = aShard.mEntries.find(aShard.mEnded.front().second);
    if (entry != aShard.mEntries.end()) {
      aShard.mBytes -= entry->second.mAttempt.mAnswer.mBody.size();
      aShard.mEntries.erase(entry);
    }
    aShard.mEnded.pop_front();
  }
}

AttemptStatus
ClaimRegistry::Await(const std::string& aNonce, Millis aWithin)
{
  Shard& shard = ShardFor(aNonce);
  std::unique_lock<std::mutex> lock(shard.mLock);
  auto ended = [&] {
    auto entry = shard.mEntries.find(aNonce);
    return entry == shard.mEntries.end() ||
           entry->second.mAttempt.mStatus != ClaimAttemptStatus::Running;
  };
  shard.mChanged.wait_for(lock, aWithin, ended);
  auto entry = shard.mEntries.find(aNonce);
  return entry == shard.mEntries.end() ? AttemptStatus()
                                       : entry->second.mAttempt;
}

} // namespace caraway
