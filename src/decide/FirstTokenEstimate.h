// FirstTokenEstimate.h: how long a request of a service takes until its first
// event, by what its server has to do before.
#ifndef caraway_decide_FirstTokenEstimate_h
#define caraway_decide_FirstTokenEstimate_h

#include "caraway/Time.h"
#include "decide/RunTimeEstimates.h"

namespace caraway {

struct FirstTokenFacts
{
  // Of the request's prompt and of those that the server reads before it.
  double mPromptTokens = 0;
  double mRequests = 0;  // in flight at the server, this one included
  double mPace = 1;      // see ServerPace
  double mOwnTokens = 0; // of the request's prompt alone
  bool mLong = false;    // reading it holds up streams noticeably
};

// A server reads prompts one after another and holds up all else meanwhile;
// each request in flight takes its part of a step. Both times are learnt from
// first events, starting from a guess.
class FirstTokenEstimate
{
public:
  FirstTokenEstimate();

  void Record(const FirstTokenFacts& aFacts, Millis aTook);
  Millis Expected(const FirstTokenFacts& aFacts) const;
  // Time in which a server of usual pace reads a prompt.
  Millis ReadingTime(double aPromptTokens) const;
  // Mean of the requests recorded; stands in for an unknown length.
  double UsualPrompt() const { return mUsualPrompt; }
  // Part of all prompt tokens that belongs to long prompts, 0 to 1.
  double LongShare() const;

private:
  double TokenMs() const;
  double StepMs() const;
  // At the usual pace, without the part that doesn't depend on the load.
  double WorkMs(const FirstTokenFacts& aFacts) const;

  Trend mPrompt; // of the time in ms at the usual pace, over tokens
  Trend mStep;   // the same, over requests
  double mFixedMs = 0;
  double mEvents = 0; // first events recorded
  double mUsualPrompt;
  double mLongTokens = 0; // mean per request; 0 of one that isn't long
};

} // namespace caraway

#endif
