// LoadPriority.h: the order in which missing models are loaded.
//
// The load that it is designed for: a burst for rare models keeps every server
// loading for ten seconds, and meanwhile the servers of a model with many
// requests per second go away. In order of arrival, every load would be late.
// Urgent requests go first, among them those that can still meet their
// deadline, oldest first; loads that are late already, and loads from the
// weight store, wait until there is capacity to spare. A load of a popular
// model goes before all of them, however late it is for its first request,
// because it serves every request of the next seconds.
//
// A load whose callers were refused, and that nobody waits for until they
// return, goes last. Once they have returned in vain it counts as on time, by
// the time of the first request: a steady flow of others could otherwise keep
// it waiting for good.
//
// Where callers' patience is known, the loads that impatient callers wait for
// go first, and of the others the one that has to begin soonest. A patient
// caller's load gives up its place until it can't let another load go first
// without being late; from then on it ranks with the urgent ones.
#ifndef caraway_decide_LoadPriority_h
#define caraway_decide_LoadPriority_h

#include <tuple>

#include "caraway/Time.h"
#include "decide/LoadPatience.h"

namespace caraway {

enum class LoadDemand
{
  Present, // requests wait for the load, or asked for it a moment ago
  Kept,    // its callers were refused and haven't returned yet
  Owed,    // they have returned in vain
};

struct LoadPriorityFacts
{
  double mRate = 0;        // requests per second for the model
  int mPriority = 5;       // 0 = most urgent
  bool mHasWaiters = true; // requests wait for it; else an extra replica
  TimePoint mSince{};      // time of the first request
  // The newest request's answer is late if it starts after this.
  TimePoint mNeedBy{};
  Millis mLoad{ 0 }; // usual load time
  // With Unstated, the fields above alone decide.
  LoadPurpose mPurpose = LoadPurpose::Unstated;
  double mUrgentRate = 0; // requests per second that can't wait for a load
  LoadDemand mDemand = LoadDemand::Present;
};

// Requests per second. A load occupies a server for about a second. From this
// rate on, it serves more requests than the load of a rare model, which is
// requested every five seconds or so.
inline constexpr double kPopularRate = 2.0;

// Smaller keys are loaded first.
using LoadPriorityKey = std::tuple<bool, int, bool, TimePoint>;

LoadPriorityKey
RankLoad(const LoadPriorityFacts& aFacts, TimePoint aNow);

} // namespace caraway

#endif
