// LoadPriority.h: which missing model is loaded first.
//
// The load it answers: a burst for rare models keeps every server loading for
// ten seconds, and meanwhile the servers go that held a model which is asked
// for many times a second. First come first served makes all late. The urgent
// go first, and of these those that can still be in time, the oldest before the
// others; what is late already waits for a lull, and so does what must come
// from the weight store. But a load of a popular model serves all who come
// during the next seconds, however late it is for the first of them, so it goes
// before.
#ifndef caraway_decide_LoadPriority_h
#define caraway_decide_LoadPriority_h

#include <tuple>

#include "caraway/Time.h"

namespace caraway {

struct LoadPriorityFacts
{
  double mRate = 0;    // requests a second for the model
  int mPriority = 5;   // 0 = most urgent
  bool mAsked = true;  // requests wait for it; else it only gets a replica
  TimePoint mSince{};  // first asked for
  TimePoint mNeedBy{}; // the youngest request's answer begins late after it
  Millis mLoad{ 0 };   // what its load usually takes
};

// Two a second: one load, a second of one server, serves more requests than
// the load of a rare model, asked for some five seconds apart, ever will.
inline constexpr double kPopularRate = 2.0;

// Smaller goes first.
using LoadPriorityKey = std::tuple<bool, int, bool, TimePoint>;

LoadPriorityKey
RankLoad(const LoadPriorityFacts& aFacts, TimePoint aNow);

} // namespace caraway

#endif
