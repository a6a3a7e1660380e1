// ServerLives.h: which servers started again under their id lately.
//
// Orders to a server's former life may reach the present one. A lease holder
// remembers its own, and is told of those that others know to be unanswered;
// of an order whose sender was lost with it nobody knows. Each instance follows
// the list of servers, so that a new holder knows where to keep room for such
// an order: at servers that had a former life, at the counts that its late
// orders may have. At other servers there is nothing to fear.
#ifndef caraway_decide_ServerLives_h
#define caraway_decide_ServerLives_h

#include <map>
#include <optional>
#include <string>

#include "caraway/Time.h"

namespace caraway {

struct FormerLife
{
  TimePoint mEndedAt{}; // when the next life was noticed
  // Counts that its late orders may have.
  int64_t mLowestCount = 0;
  int64_t mHighestCount = 0;

  bool operator==(const FormerLife& aOther) const
  {
    return mEndedAt == aOther.mEndedAt && mLowestCount == aOther.mLowestCount &&
           mHighestCount == aOther.mHighestCount;
  }
};

class ServerLives
{
public:
  // The fleet starts for the first time: no server has had orders.
  void OnFirstStart() { mFirstStart = true; }
  // aStartTime: of the server, Unix ms.
  void OnListed(const std::string& aServer, int64_t aStartTime, TimePoint aNow);
  void OnUnlisted(const std::string& aServer, TimePoint aNow);
  // The server is known to have accepted aCount orders.
  void OnOrderCount(const std::string& aServer, int64_t aCount, TimePoint aNow);
  // Another instance knows what came before the life that began at aStartTime.
  void OnTold(const std::string& aServer,
              int64_t aStartTime,
              const std::optional<FormerLife>& aFormer);

  // This instance knows whether the server had a former life whose orders may
  // still come.
  bool Known(const std::string& aServer) const;
  // The former life whose orders may still come. Where this instance doesn't
  // know, one is assumed before a life that has only begun.
  std::optional<FormerLife> Former(const std::string& aServer,
                                   TimePoint aNow,
                                   WallTime aWallNow) const;

private:
  struct Life
  {
    int64_t mStartTime = 0;
    TimePoint mListedAt{};
    bool mFormerKnown = false;
    std::optional<FormerLife> mFormer;
    int64_t mLastCount = -1; // of its orders; negative = never known
    // The count as noted at intervals.
    int64_t mCount = 0;
    TimePoint mCountAt{};
    int64_t mCountBefore = 0; // the note before that
    TimePoint mUnlistedAt{};  // zero = listed
  };
  static int64_t LowestLateCount(const Life& aLife, TimePoint aNow);
  static int64_t HighestLateCount(const Life& aLife);
  void Forget(TimePoint aNow);

  std::map<std::string, Life> mLives; // by server
  bool mFirstStart = false;
  TimePoint mFollowedSince{}; // when the first server was listed
};

} // namespace caraway

#endif
