// BriefingRunner.h: runs the open briefings.
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
#include "serve/LeaveGate.h"
#include "serve/ModelCalls.h"

namespace caraway {

// Each list of open briefings is owned by one instance of the whole fleet. If a
// partition gives a list two owners, a briefing may run twice; the first result
// that is stored stays. A temporary refusal (rate, capacity) is retried later;
// only expiry, a withdrawn key, a removed profile or a cost above the tenant's
// burst ends a briefing.
class BriefingRunner
{
public:
  BriefingRunner(BriefingStore& aStore,
                 ModelCalls& aModels,
                 Members& aMembers,
                 ConfigHolder& aConfig,
                 WorkerPool& aWorkers,
                 const LeaveGate& aLeave,
                 const Clock& aClock);

  // Reads the lists that this instance owns and starts briefings that aren't
  // running yet. An instance that leaves starts none: their next owner does.
  void Round();
  // Briefings that couldn't run and aren't tried again for a while.
  size_t Postponed() const;

private:
  void ForgetPastDelays();
  void StartDue(const std::string& aId);
  void Run(const std::string& aId);
  // Returns the finished briefing, or nothing if it can't run now and stays
  // open.
  std::optional<Briefing> TryRun(const Briefing& aBriefing);

  BriefingStore& mStore;
  BriefingSteps mSteps;
  ModelCalls& mModels;
  Members& mMembers;
  ConfigHolder& mConfig;
  WorkerPool& mWorkers;
  const LeaveGate& mLeave;
  const Clock& mClock;
  mutable std::mutex mLock;
  std::set<std::string> mRunning;
  std::map<std::string, TimePoint> mNotBefore;
};

} // namespace caraway

#endif
