// TokenBucket.h: token bucket of one holder, with exact refunds.
#ifndef caraway_decide_TokenBucket_h
#define caraway_decide_TokenBucket_h

#include "decide/HeadroomHistory.h"

namespace caraway {

// In every window, the tokens taken less the unused ones given back are at most
// burst + rate x length.
class TokenBucket
{
public:
  // Starts empty at aNow: a restarted holder may have spent a full burst just
  // before its restart.
  TokenBucket(double aRate, double aBurst, TimePoint aNow);

  // Takes all of aTokens or none.
  bool Take(double aTokens, TimePoint aNow);
  // Refunds aTokens of those taken at aTakenAt, which weren't used. Returns how
  // many of them are credited; see HeadroomHistory.
  double Refund(double aTokens, TimePoint aTakenAt, TimePoint aNow);
  // Adds tokens from another bucket. Returns how many fit under the burst.
  double Add(double aTokens, TimePoint aNow);
  // Charges tokens used beyond those taken. The level may fall below zero and
  // is refilled by the rate.
  void Overdraw(double aTokens, TimePoint aNow);

  // Starts from aLevel, left by a holder that has stopped spending.
  void Fill(double aLevel, TimePoint aNow);

  // A smaller rate or burst applies at once; a larger one accrues from the
  // current level.
  void Resize(double aRate, double aBurst, TimePoint aNow);

  double Level(TimePoint aNow) const;
  // Time until aTokens are available if nothing else is taken; negative =
  // never.
  Millis Until(double aTokens, TimePoint aNow) const;
  double Burst() const { return mBurst; }
  double Rate() const { return mRate; }

private:
  void Accrue(TimePoint aNow);

  double mRate;  // tokens per second
  double mBurst; // tokens
  double mLevel = 0;
  TimePoint mAt;
  TimePoint mStartTime; // tokens taken before it came from another bucket
  HeadroomHistory mHeadroom;
};

} // namespace caraway

#endif
