#include "own/CallEnds.h"

#include "base/Log.h"

namespace caraway {

std::string
CallName(const std::string& aTenant, uint64_t aRequestDigest)
{
  return aTenant + " " + std::to_string(aRequestDigest);
}

CallEnds::CallEnds(const Clock& aClock)
  : mClock(aClock)
{
}

std::optional<Millis>
CallEnds::RefusedFor(const std::string& aCall) const
{
  std::lock_guard<std::mutex> lock(mLock);
  auto until = mEnds.RefusedUntil(aCall);
  if (!until) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(*until - mClock.Now());
}

void
CallEnds::OnReleased(const HeldEngineSlot& aSlot,
                     const EngineSlotRelease& aRelease)
{
  TimePoint now = mClock.Now();
  std::lock_guard<std::mutex> lock(mLock);
  if (aRelease.mServed) {
    mEnds.OnServed(aSlot.mCall, now);
  }
  if (!aRelease.mEnded) {
    return;
  }
  // An engine that starts again keeps its name, and serves the call again.
  std::string life =
    aSlot.mEndpoint + " " + std::to_string(aRelease.mEngineSlotId);
  mEnds.OnEnd({ aSlot.mCall, life, aSlot.mGrantedAt, now, 0 }, now);
  LogInfo("engine_ended",
          { { "endpoint", aSlot.mEndpoint },
            { "call", aSlot.mCall },
            { "ends", std::to_string(mEnds.Count(aSlot.mCall)) } });
}

void
CallEnds::ForgetOld()
{
  std::lock_guard<std::mutex> lock(mLock);
  mEnds.ForgetOld(mClock.Now());
}

} // namespace caraway
