#include "net/SharedRequestAccount.h"

namespace caraway {

SharedRequestAccount::SharedRequestAccount(RequestAccountLimits aLimits)
  : mAccount(aLimits)
{
}

RequestAccount::Id
SharedRequestAccount::Add(RequestAccount::Group aGroup,
                          std::function<void()> aGiveUp)
{
  std::lock_guard<std::mutex> lock(mLock);
  return mAccount.Add(TimePoint::clock::now(), std::move(aGiveUp), aGroup);
}

void
SharedRequestAccount::Remove(RequestAccount::Id aId)
{
  std::lock_guard<std::mutex> lock(mLock);
  mAccount.Remove(aId);
}

bool
SharedRequestAccount::Set(RequestAccount::Id aId, const HeldBytes& aHeld)
{
  std::lock_guard<std::mutex> lock(mLock);
  return mAccount.Set(aId, aHeld, TimePoint::clock::now());
}

void
SharedRequestAccount::Progress(RequestAccount::Id aId, size_t aBytes)
{
  std::lock_guard<std::mutex> lock(mLock);
  mAccount.Progress(aId, aBytes, TimePoint::clock::now());
}

size_t
SharedRequestAccount::GiveUpStanding(RequestAccount::Group aGroup,
                                     size_t aCount)
{
  std::lock_guard<std::mutex> lock(mLock);
  return mAccount.GiveUpStanding(aGroup, aCount, TimePoint::clock::now());
}

size_t
SharedRequestAccount::MostForOne() const
{
  return mAccount.MostForOne();
}

RequestAccountFigures
SharedRequestAccount::Figures() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mAccount.Figures();
}

} // namespace caraway
