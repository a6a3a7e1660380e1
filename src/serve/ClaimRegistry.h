// ClaimRegistry.h: what this instance says about its own attempts.
#ifndef caraway_serve_ClaimRegistry_h
#define caraway_serve_ClaimRegistry_h

#include <array>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "caraway/Clock.h"
#include "decide/ClaimStep.h"

namespace caraway {

struct AttemptStatus
{
  bool mKnown = false; // an attempt of ours
  ClaimAttemptStatus mStatus = ClaimAttemptStatus::Running;
  ClaimAnswer mAnswer; // when Answered
};

// Kept in memory for a while after an attempt ended, so that a duplicate
// that reaches another instance can be told how it went even where the
// platform couldn't be. What has been forgotten is "unknown", which refuses.
class ClaimRegistry
{
public:
  explicit ClaimRegistry(const Clock& aClock);

  void Begin(const std::string& aNonce);
  // Final: a word once given doesn't change.
  void End(const std::string& aNonce, const AttemptStatus& aStatus);
  // Waits up to aWithin while the attempt is running.
  AttemptStatus Await(const std::string& aNonce, Millis aWithin);

private:
  struct Entry
  {
    AttemptStatus mAttempt;
    TimePoint mEnded{};
  };
  struct Shard
  {
    std::mutex mLock;
    std::condition_variable mChanged;
    std::map<std::string, Entry> mEntries;
    std::deque<std::pair<TimePoint, std::string>> mEnded; // oldest first
    size_t mBytes = 0;                                    // of kept answers
  };
  static constexpr size_t kShards = 8;

  Shard& ShardFor(const std::string& aNonce);
  void DropExpired(Shard& aShard, TimePoint aNow);

  const Clock& mClock;
  std::array<Shard, kShards> mShards;
};

} // namespace caraway

#endif
