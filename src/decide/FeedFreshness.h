// FeedFreshness.h: whether what a feed has delivered can be decided by now.
//
// A feed that works confirms every few seconds that the store has nothing
// newer. After a start or a standstill of the process, or while no source can
// be reached, what it delivered last may be older than any limit, and nothing
// in it says so. Who would deny a request by it, or send one, asks first.
#ifndef caraway_decide_FeedFreshness_h
#define caraway_decide_FeedFreshness_h

#include "caraway/Time.h"

namespace caraway {

class FeedFreshness
{
public:
  enum class Verdict
  {
    Rely,
    Check,       // the sources have to be asked first
    Unconfirmed, // they were asked in vain a moment ago
  };

  // While the sources can't be reached, they are asked again after this time.
  // An instance whose process stands still again and again checks no more often
  // while what it has is young, and goes on with that in between.
  static constexpr Millis kCheckPause{ 3000 };

  // aMaxAge: within this time a change must be in force.
  void Configure(Millis aMaxAge) { mMaxAge = aMaxAge; }

  // The store had nothing newer at aAt, by itself or by another instance's
  // word.
  void OnConfirmed(TimePoint aAt);
  TimePoint ConfirmedAt() const { return mConfirmedAt; }
  // Another instance said at aSentAt that it has nothing newer. It may be
  // behind the store by what a working feed is, and not by a standstill.
  void OnHeard(TimePoint aSentAt);
  // The process started at aUntil, or stood still until then. What was known
  // before is in doubt.
  void OnHeldUp(TimePoint aUntil);
  // The sources were asked and didn't confirm it.
  void OnCheckFailed(TimePoint aNow);

  // For a denial, which the caller takes as final.
  Verdict ToDeny(TimePoint aNow) const;
  // For everything else. Unconfirmed state is used on: an availability zone
  // that is cut off from the store goes on serving.
  Verdict ToServe() const;

private:
  bool InDoubt() const;
  bool AskedInVain(TimePoint aNow) const;

  Millis mMaxAge{ 2000 };
  TimePoint mConfirmedAt{};
  TimePoint mHeardAt{};
  TimePoint mHeldUpUntil{};
  TimePoint mCheckFailedAt{};
};

} // namespace caraway

#endif
