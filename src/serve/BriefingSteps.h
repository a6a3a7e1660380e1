// BriefingSteps.h: processes one listed briefing at a time.
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

// Stores the result before it removes the briefing from the list. In the other
// order, an instance that died in between would lose an accepted briefing
// without an answer.
class BriefingSteps
{
public:
  // Returns the finished briefing, or nothing if it can't run now.
  using Attempt = std::function<std::optional<Briefing>(const Briefing&)>;

  BriefingSteps(BriefingStore& aStore, const Clock& aClock);

  // True if the briefing has finished, here or elsewhere; it is off the list,
  // or will be after a retry. False if it is still open.
  bool Process(const std::string& aId, const Attempt& aAttempt);
  // Listed briefings that were found without an object and may be again.
  size_t Missing() const;

private:
  bool RunIfOpen(StoredBriefing& aStored, const Attempt& aAttempt);
  // True if a listed briefing has had no stored object for kMissingGrace. Its
  // caller never got the response "accepted", but the write may still be in
  // flight, so the briefing isn't dropped at once.
  bool MissingForTooLong(const std::string& aId);

  BriefingStore& mStore;
  const Clock& mClock;
  mutable std::mutex mLock;
  std::map<std::string, TimePoint> mMissing; // first seen missing, by id
};

} // namespace caraway

#endif
