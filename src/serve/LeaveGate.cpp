#include "serve/LeaveGate.h"

namespace caraway {

namespace {

leaf::error_id
Refuse(RunState aRun)
{
  Failure failure = FailureOf(
    ErrorKind::ShuttingDown,
    "this instance is shutting down; send the request to another one");
  failure.mRun = aRun;
  return Fail(failure);
}

} // namespace

LeaveGate::LeaveGate(const Clock& aClock)
  : mClock(aClock)
{
}

void
LeaveGate::Begin(const LeaveTimes& aTimes)
{
  std::lock_guard<std::mutex> lock(mLock);
  mPlan.Begin(mClock.Now(), aTimes);
}

bool
LeaveGate::Leaving() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mPlan.Leaving();
}

TimePoint
LeaveGate::End() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mPlan.End();
}

Result<void>
LeaveGate::MayStart(TimePoint aAnswerBy, RunState aRun, Millis aUsual) const
{
  std::lock_guard<std::mutex> lock(mLock);
  if (!mPlan.MayStart(mClock.Now(), aAnswerBy, aUsual)) {
    return Refuse(aRun);
  }
  return {};
}

Result<void>
LeaveGate::MayContinue() const
{
  std::lock_guard<std::mutex> lock(mLock);
  if (!mPlan.MayContinue(mClock.Now())) {
    return Refuse(RunState::MayHaveRun);
  }
  return {};
}

} // namespace caraway
