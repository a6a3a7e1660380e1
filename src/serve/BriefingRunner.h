// BriefingRunner.h: runs the briefings that are owed.
#ifndef caraway_serve_BriefingRunner_h
#define caraway_serve_BriefingRunner_h

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "base/WorkerPool.h"
#include "caraway/Clock.h"
#include "peer/Members.h"
#include "platform/ConfigHolder.h"
#include "serve/BriefingSteps.h"
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
  // Its ending; nothing when it can't run now and stays open.
  std::optional<Briefing> TryRun(const Briefing& aBriefing);

  BriefingStore& mStore;
  BriefingSteps mTurns;
  ModelCalls& mModels;
  Members& mMembers;
  ConfigHolder& mConfig;
  WorkerPool& mWorkers;
  const Clock& mClock;
  std::mutex mLock;
  std::set<std::string> mRunning;
  std::map<std::string, TimePoint> mNotBefore;
};

} // namespace caraway

#endif
