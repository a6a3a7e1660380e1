// ClaimRegistry.h: outcomes of this instance's own order attempts.
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
  bool mKnown = false; // in this instance's registry
  ClaimAttemptStatus mStatus = ClaimAttemptStatus::Running;
  ClaimAnswer mAnswer; // if Answered
};

// Keeps the outcome of an attempt in memory for a while after it ended, so that
// a duplicate order at another instance gets it even if it could not be stored
// at the platform. An attempt that was dropped is "unknown", and its duplicate
// is refused.
class ClaimRegistry
{
public:
  explicit ClaimRegistry(const Clock& aClock);

  void Begin(const std::string& aNonce);
  // Called once per attempt: a status that was reported must not change.
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
    size_t mBytes = 0;                                    // of answer bodies
  };
  static constexpr size_t kShards = 8;

  Shard& ShardFor(const std::string& aNonce);
  void Evict(Shard& aShard, TimePoint aNow);

  const Clock& mClock;
  std::array<Shard, kShards> mShards;
};

} // namespace caraway

#endif
