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
  LoadGateAnswer answer = mGate->Ask({ mId, mUrgency(), mIn });
  mIn = answer.mIn;
  mAgain = answer.mAgain;
}

bool
LoadPermit::Await(TimePoint aUntil)
{
  while (mGate && !mIn && mGate->Time().Now() < aUntil) {
    Ask();
    if (!mIn) {
      std::this_thread::sleep_for(mAgain);
    }
  }
  return In();
}

void
LoadPermit::Keep()
{
  if (mIn && mGate->Time().Now() - mAsked > mAgain) {
    Ask();
  }
}

} // namespace caraway
