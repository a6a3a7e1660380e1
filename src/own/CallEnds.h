// CallEnds.h: calls for models under which engines ended, one after the other.
//
// The owner of a model grants the engine slots of all fronts in its zone, so it
// alone sees all attempts of a call, also those that its caller makes at
// another front. The decision is RequestEnds'.
#ifndef caraway_own_CallEnds_h
#define caraway_own_CallEnds_h

#include <mutex>
#include <optional>
#include <string>

#include "caraway/Clock.h"
#include "decide/RequestEnds.h"
#include "own/EngineSlotRequest.h"
#include "own/ModelGroup.h"

namespace caraway {

class CallEnds
{
public:
  explicit CallEnds(const Clock& aClock);

  // Time for which a call isn't sent to any engine; nothing if it may be.
  std::optional<Millis> RefusedFor(const std::string& aCall) const;
  void OnReleased(const HeldEngineSlot& aSlot,
                  const EngineSlotRelease& aRelease);
  void ForgetOld();

private:
  const Clock& mClock;
  mutable std::mutex mLock;
  RequestEnds mEnds;
};

// Equal for equal calls of a tenant.
std::string
CallName(const std::string& aTenant, uint64_t aRequestDigest);

} // namespace caraway

#endif
