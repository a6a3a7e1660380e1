// QueuedLoad.h: how long a load that can't begin yet stays queued.
//
// Requests that can wait for a load ask for it again and again. One that can't
// is refused and told when to return, and nobody asks meanwhile. The load is
// kept for it: given up, it would be asked for anew by each caller that
// returns, and refused each time.
#ifndef caraway_decide_QueuedLoad_h
#define caraway_decide_QueuedLoad_h

#include <optional>

#include "caraway/Time.h"

namespace caraway {

// Longest time by which the retry-after time of a caller exceeds aWait, so that
// those who wait for the same don't return at the same moment.
Millis
RetrySpread(Millis aWait);

class QueuedLoad
{
public:
  // A load that no request has repeated for this long is given up.
  static constexpr Millis kMaxSilence{ 1500 };
  // A load that has been queued for longer goes before those that are on time,
  // so that a steady flow of these can't keep it waiting for good.
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

  bool GivenUp(TimePoint aNow) const;
  TimePoint Since() const { return mSince; }
  TimePoint AskedAt() const { return mAskedAt; }
  // When all callers that were refused should have returned; zero = none were.
  TimePoint ReturnBy() const { return mReturnBy; }
  // The earliest time at which an answer must start; nothing if no caller has
  // waited.
  std::optional<TimePoint> FirstNeedBy() const { return mFirstNeedBy; }
  // The latest such time, by which the load is ranked. One that is overdue and
  // takes aLoad is ranked as if it were on time.
  TimePoint NeedBy(Millis aLoad, TimePoint aNow) const;
  // Whether it has been queued for longer than kMaxQueued.
  bool Overdue(TimePoint aNow) const { return aNow - mSince > kMaxQueued; }

private:
  TimePoint mSince{};
  TimePoint mAskedAt{};
  TimePoint mReturnBy{};
  TimePoint mNeedBy{};
  std::optional<TimePoint> mFirstNeedBy;
};

// When the callers of a load that are told aExpected should have returned; zero
// if they wait instead.
TimePoint
ReturnTime(Millis aExpected, std::optional<Millis> aLeft, TimePoint aNow);

} // namespace caraway

#endif
