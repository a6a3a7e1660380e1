#include "own/LoadPermit.h"

#include <thread>

#include "base/RandomId.h"

namespace caraway {

LoadPermit::LoadPermit(StoreGate* aGate, Urgency aUrgency)
  : mGate(aGate)
  , mUrgency(std::move(aUrgency))
  , mId(RandomId())
{
}

LoadPermit::~LoadPermit()
{
  if (mAsked != TimePoint{}) {
    mGate->Leave(mId);
  }
}

void
LoadPermit::Ask()
{
  mAsked = mGate->Time().Now();
  LoadGateReply answer = mGate->Ask({ mId, mUrgency(), mHasPermit });
  mHasPermit = answer.mHasPermit;
  mPollAfter = answer.mPollAfter;
}

bool
LoadPermit::Await(TimePoint aUntil)
{
  while (mGate && !mHasPermit && mGate->Time().Now() < aUntil) {
    Ask();
    if (!mHasPermit) {
      std::this_thread::sleep_for(mPollAfter);
    }
  }
  return In();
}

void
LoadPermit::Keep()
{
  if (mHasPermit && mGate->Time().Now() - mAsked > mPollAfter) {
    Ask();
  }
}

} // namespace caraway
