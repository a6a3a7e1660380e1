// BriefingRunner.h: runs the briefings that are owed.
#ifndef caraway_serve_BriefingRunner_h
#define caraway_serve_BriefingRunner_h

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/WorkerPool.h"
#include "caraway/Clock.h"
#include "peer/Members.h"
#include "platform/ConfigHolder.h"
#include "serve/BriefingStore.h"
#include "serve/ModelCalls.h"

namespace caraway {

// Each list of open briefings is looked after by one instance of the whole
// fleet, any of them. Two at once, after a cut, run a briefing twice; the
// first ending stays. A refusal for the moment (rate, capacity) is tried
// again later; only its time, its key's withdrawal or a lost profile end it.
class BriefingRunner
{
public:
  BriefingRunner(BriefingStore& aStore,
                 ModelCalls& aModels,
                 Members& aMembers,
                 ConfigHolder& aConfig,

                 WorkerPool& aWorkers,
                 const Clock& aClock);

  // Looks at the lists that are ours; starts what isn't running yet.
  void Round();

private:
  void Run(const std::string& aId);
  // False: whether the ending is kept can't be told; it stays open.
  bool End(StoredBriefing& aStored, BriefingState aState, Json::Value aAnswer);
  bool LongMissing(const std::string& aId);
  // False: not now; it stays open.
  bool Attempt(StoredBriefing& aStored);

  BriefingStore& mStore;
  ModelCalls& mModels;
  Members& mMembers;
  ConfigHolder& mConfig;

  WorkerPool& mWorkers;
  const Clock& mClock;
  std::mutex mLock;
  std::set<std::string> mRunning;
  std::map<std::string, TimePoint> mNotBefore;
  std::map<std::string, TimePoint> mMissing; // listed, not kept: since
};

} // namespace caraway

#endif
