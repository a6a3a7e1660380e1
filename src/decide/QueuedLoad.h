// QueuedLoad.h: a load that can't begin yet, by the requests that ask for it.
//
// Requests that can wait for a load ask for it again and again. One that can't
// is refused and told when to return, and nobody asks meanwhile. The load is
// kept for it, behind those that somebody waits for: given up, it would be
// asked for anew by each caller that returns, and refused each time. A load
// whose callers have returned in vain goes first, so that a steady flow of
// others can't keep a model from ever being loaded.
#ifndef caraway_decide_QueuedLoad_h
#define caraway_decide_QueuedLoad_h

#include <optional>

#include "caraway/Time.h"
#include "decide/LoadPriority.h"

namespace caraway {

// Longest time by which the retry-after time of a caller exceeds aWait, so that
// those who wait for the same don't return at the same moment.
Millis
RetrySpread(Millis aWait);

class QueuedLoad
{
public:
  // Requests that wait repeat theirs within this time.
  static constexpr Millis kMaxSilence{ 1500 };
  // A load that has been queued for longer than this is overdue.
  static constexpr Millis kMaxQueued{ 8000 };

  QueuedLoad() = default;
  explicit QueuedLoad(TimePoint aNow);

  // A request asks for it. aLeft: time until its answer must start; nothing if
  // no caller waits for the load.
  void OnAsked(std::optional<Millis> aLeft, TimePoint aNow);
  // Its callers were told that it is loaded in aExpected; those that can't wait
  // so long return then.
  void OnExpected(Millis aExpected,
                  std::optional<Millis> aLeft,
                  TimePoint aNow);

  // Nobody waits for it any more, nor will return for it.
  bool GivenUp(TimePoint aNow) const;
  bool Overdue(TimePoint aNow) const { return aNow - mSince > kMaxQueued; }
  TimePoint Since() const { return mSince; }
  TimePoint AskedAt() const { return mAskedAt; }
  // The latest time at which an answer must start.
  TimePoint NeedBy() const { return mNeedBy; }
  // The earliest such time; nothing if no caller has waited.
  std::optional<TimePoint> FirstNeedBy() const { return mFirstNeedBy; }
  LoadDemand Demand(TimePoint aNow) const;

private:
  bool Silent(TimePoint aNow) const { return aNow - mAskedAt > kMaxSilence; }

  TimePoint mSince{};
  TimePoint mAskedAt{};
  TimePoint mNeedBy{};
  // Of the callers that were refused; zero = none were.
  TimePoint mReturnFrom{}; // the earliest time that they were told
  TimePoint mReturnBy{};   // when all of them should have returned
  bool mReturned = false;  // callers have come back for it in vain
  std::optional<TimePoint> mFirstNeedBy;
};

} // namespace caraway

#endif
