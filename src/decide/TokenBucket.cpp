#include "decide/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

// Requests, and so their reservations, last no longer than this; a later refund
// is lost.
constexpr Seconds kRefundWindow{ 300 };

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

} // namespace

TokenBucket::TokenBucket(double aRate, double aBurst, TimePoint aNow)
  : mRate(aRate)
  , mBurst(aBurst)
  , mAt(aNow)
  , mStartTime(aNow)
{
}

double
TokenBucket::Level(TimePoint aNow) const
{
  return std::min(mBurst, mLevel + mRate * SecondsBetween(mAt, aNow));
}

// Time only moves forward here: an event reported late must not accrue the same
// second twice.
void
TokenBucket::Accrue(TimePoint aNow)
{
  mLevel = Level(aNow);
  mAt = std::max(mAt, aNow);
}

bool
TokenBucket::Take(double aTokens, TimePoint aNow)
{
  Accrue(aNow);
  if (mLevel < aTokens) {
    return false;
  }
  mHeadroom.ForgetBefore(mAt - kRefundWindow);
  // The level is highest just before tokens are taken.
  mHeadroom.Record(mAt, mBurst - mLevel);
  mLevel -= aTokens;
  return true;
}

double
TokenBucket::Refund(double aTokens, TimePoint aTakenAt, TimePoint aNow)
{
  Accrue(aNow);
  bool refundable = aTakenAt >= mStartTime && mAt - aTakenAt <= kRefundWindow;
  if (!refundable || aTokens <= 0) {
    return 0;
  }
  // The headroom recorded at the moment of taking describes the level before
  // it. From then on the level was lower by what was taken, so that entry
  // doesn't limit the refund.
  double least = mHeadroom.MinSince(aTakenAt + TimePoint::duration(1));
  double counted = std::min({ aTokens, least, mBurst - mLevel });
  counted = std::max(0.0, counted);
  mHeadroom.Lower(counted);
  mLevel += counted;
  return counted;
}

double
TokenBucket::Add(double aTokens, TimePoint aNow)
{
  Accrue(aNow);
  double added = std::clamp(aTokens, 0.0, mBurst - mLevel);
  // Earlier reservations can't be refunded above this level.
  mHeadroom.Lower(added);
  mLevel += added;
  return added;
}

void
TokenBucket::Overdraw(double aTokens, TimePoint aNow)
{
  Accrue(aNow);
  mLevel -= aTokens;
}

void
TokenBucket::Fill(double aLevel, TimePoint aNow)
{
  mAt = aNow;
  mStartTime = aNow;
  mLevel = std::min(mBurst, std::max(0.0, aLevel));
}

void
TokenBucket::Resize(double aRate, double aBurst, TimePoint aNow)
{
  Accrue(aNow);
  if (aBurst > mBurst) {
    // Earlier headroom was measured against the smaller burst.
    mHeadroom.Record(mAt, std::max(0.0, mBurst - mLevel));
  }
  mRate = aRate;
  mBurst = aBurst;
  mLevel = std::min(mLevel, mBurst);
}

Millis
TokenBucket::Until(double aTokens, TimePoint aNow) const
{
  double missing = aTokens - Level(aNow);
  if (missing <= 0) {
    return Millis(0);
  }
  if (aTokens > mBurst || mRate <= 0) {
    return Millis(-1);
  }
  return Millis(static_cast<int64_t>(std::ceil(missing / mRate * 1000)));
}

} // namespace caraway
