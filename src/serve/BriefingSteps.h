// BriefingSteps.h: what becomes of one listed briefing at a time.
#ifndef caraway_serve_BriefingSteps_h
#define caraway_serve_BriefingSteps_h

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "caraway/Clock.h"
#include "serve/BriefingStore.h"

namespace caraway {

// The order of things: an ending is in force before the list forgets the
// briefing. In the other order an instance that died in between would have
// lost it, accepted and without an answer.
class BriefingSteps
{
public:
  // Its ending, or nothing for now.
  using Attempt = std::function<std::optional<Briefing>(const Briefing&)>;

  BriefingSteps(BriefingStore& aStore, const Clock& aClock);

  // True: it has ended, here or elsewhere, and is off the list or soon will
  // be. False: still owed.
  bool Take(const std::string& aId, const Attempt& aAttempt);

private:
  bool RunIfOpen(StoredBriefing& aStored, const Attempt& aAttempt);
  // Listed, not kept: its caller was never told that it was accepted. But the
  // keeping may still be on its way, so not at once.
  bool MissingForTooLong(const std::string& aId);

  BriefingStore& mStore;
  const Clock& mClock;
  std::mutex mLock;
  std::map<std::string, TimePoint> mMissing; // since
};

} // namespace caraway

#endif
