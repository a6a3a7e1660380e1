// QueuedLoad.h: a load that can't begin yet, by the requests that ask for it.
#ifndef caraway_decide_QueuedLoad_h
#define caraway_decide_QueuedLoad_h

#include <optional>

#include "caraway/Time.h"

namespace caraway {

class QueuedLoad
{
public:
  // A load that no request has repeated for this long is given up.
  static constexpr Millis kMaxSilence{ 1500 };
  // A load that has been queued for longer than this is overdue.
  static constexpr Millis kMaxQueued{ 8000 };

  QueuedLoad() = default;
  explicit QueuedLoad(TimePoint aNow);

  // A request asks for it. aLeft: time until its answer must start; nothing if
  // no caller waits for the load.
  void OnAsked(std::optional<Millis> aLeft, TimePoint aNow);

  bool GivenUp(TimePoint aNow) const { return aNow - mAskedAt > kMaxSilence; }
  bool Overdue(TimePoint aNow) const { return aNow - mSince > kMaxQueued; }
  TimePoint Since() const { return mSince; }
  TimePoint AskedAt() const { return mAskedAt; }
  // The latest time at which an answer must start.
  TimePoint NeedBy() const { return mNeedBy; }
  // The earliest such time; nothing if no caller has waited.
  std::optional<TimePoint> FirstNeedBy() const { return mFirstNeedBy; }

private:
  TimePoint mSince{};
  TimePoint mAskedAt{};
  TimePoint mNeedBy{};
  std::optional<TimePoint> mFirstNeedBy;
};

} // namespace caraway

#endif
