#include "own/LoadTurn.h"

#include <thread>

#include "base/RandomId.h"

namespace caraway {

LoadTurn::LoadTurn(StoreGate* aGate, Urgency aUrgency)
  : mGate(aGate)
  , mUrgency(std::move(aUrgency))
  , mId(RandomId())
{
}

LoadTurn::~LoadTurn()
{
  if (mAsked != TimePoint{}) {
    mGate->Leave(mId);
  }
}

void
LoadTurn::Ask()
{
  mAsked = mGate->Time().Now();
  LoadGateAnswer answer = mGate->Ask({ mId, mUrgency(), mIn });
  mIn = answer.mIn;
  mAgain = answer.mAgain;
}

bool
LoadTurn::Await(TimePoint aUntil)
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
LoadTurn::Keep()
{
  if (mIn && mGate->Time().Now() - mAsked > mAgain) {
    Ask();
  }
}

} // namespace caraway
