#include "decide/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

// Reservations live no longer than a request may; an older refund is lost.
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

// The time only goes forward: an event handed in late must not accrue the
// same second twice.
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
  // The level is highest just before it is taken from.
  mHeadroom.Record(mAt, mBurst - mLevel);
  mLevel -= aTokens;
  return true;
}

double
TokenBucket::GiveBack(double aTokens, TimePoint aTakenAt, TimePoint aNow)
{
  Accrue(aNow);
  bool refundable = aTakenAt >= mStartTime && mAt - aTakenAt <= kRefundWindow;
  if (!refundable || aTokens <= 0) {
    return 0;
  }
  // The headroom noted at the very moment of taking is from before it: from
  // then on the level was lower by what was taken, so it doesn't bind.
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
  mHeadroom.Lower(added); // what was taken before can't come back above it
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
    // Headroom from before was measured to the old, lower brim.
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
