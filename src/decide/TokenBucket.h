// TokenBucket.h: rate and burst of one holder, with exact refunds.
#ifndef caraway_decide_TokenBucket_h
#define caraway_decide_TokenBucket_h

#include "decide/HeadroomHistory.h"

namespace caraway {

// In every window, what it hands out less what was given back unused stays at
// or under burst + rate x length.
class TokenBucket
{
public:
  // Empty at aNow: a holder that restarts must not begin with a burst that
  // its former life may have spent just before.
  TokenBucket(double aRate, double aBurst, TimePoint aNow);

  // All of aTokens, or nothing.
  bool Take(double aTokens, TimePoint aNow);
  // aTokens of what was taken at aTakenAt weren't used. Returns how many of
  // them count again; see HeadroomHistory.
  double GiveBack(double aTokens, TimePoint aTakenAt, TimePoint aNow);
  // Tokens that another bucket gave away. Returns what fits under the brim.
  double Add(double aTokens, TimePoint aNow);
  // Used more than was taken: the level goes below zero and is paid for by
  // the next seconds.
  void Overdraw(double aTokens, TimePoint aNow);

  // Starts from aLevel, left behind by a holder that has stopped spending.
  void Fill(double aLevel, TimePoint aNow);

  // Less is in force at once. More accrues from now on, from the level there.
  void Resize(double aRate, double aBurst, TimePoint aNow);

  double Level(TimePoint aNow) const;
  // Until aTokens would be there, nothing else being taken; negative when
  // they never will.
  Millis Until(double aTokens, TimePoint aNow) const;
  double Burst() const { return mBurst; }
  double Rate() const { return mRate; }

private:
  void Accrue(TimePoint aNow);

  double mRate;  // tokens a second
  double mBurst; // tokens
  double mLevel = 0;
  TimePoint mAt;
  TimePoint mStartTime; // what was taken before came from another bucket
  HeadroomHistory mHeadroom;
};

} // namespace caraway

#endif
