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
  if (mLastRequest != TimePoint{}) {
    mGate->Release(mId);
  }
}

void
LoadPermit::SendRequest()
{
  mLastRequest = mGate->Time().Now();
  LoadGateReply reply = mGate->Acquire({ mId, mUrgency(), mHasPermit });
  mHasPermit = reply.mHasPermit;
  mPollAfter = reply.mPollAfter;
}

bool
LoadPermit::Await(TimePoint aUntil)
{
  while (mGate && !mHasPermit && mGate->Time().Now() < aUntil) {
    SendRequest();
    if (!mHasPermit) {
      std::this_thread::sleep_for(mPollAfter);
    }
  }
  return HasPermit();
}

void
LoadPermit::Renew()
{
  if (mHasPermit && mGate->Time().Now() - mLastRequest > mPollAfter) {
    SendRequest();
  }
}

} // namespace caraway
