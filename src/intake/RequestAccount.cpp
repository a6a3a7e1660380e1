#include "intake/RequestAccount.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

constexpr size_t kPartOfMemory = 3; // requests may have one of so many parts

} // namespace

RequestAccountLimits
RequestAccountLimitsFor(size_t aMemory)
{
  RequestAccountLimits limits;
  limits.mBytes = aMemory / kPartOfMemory;
  limits.mLargeBytes = limits.mBytes / 4 * 3;
  return limits;
}

RequestAccount::RequestAccount(RequestAccountLimits aLimits)
  : mLimits(aLimits)
{
}

RequestAccount::Id
RequestAccount::Add(TimePoint aNow, std::function<void()> aGiveUp, Group aGroup)
{
  Id id = mNext++;
  Holder& holder = mHolders[id];
  holder.mProgressAt = aNow;
  holder.mGroup = aGroup;
  holder.mGiveUp = std::move(aGiveUp);
  return id;
}

void
RequestAccount::Remove(Id aId)
{
  auto found = mHolders.find(aId);
  if (found != mHolders.end()) {
    Count(found->second, HeldBytes());
    mHolders.erase(found);
  }
}

bool
RequestAccount::IsLarge(const Holder& aHolder)
{
  return aHolder.mHeld.mBytes > kLargeBytes;
}

void
RequestAccount::Count(Holder& aHolder, const HeldBytes& aHeld)
{
  mLarge -= IsLarge(aHolder) ? aHolder.mHeld.mBytes : 0;
  mTotal -= aHolder.mHeld.mBytes;
  aHolder.mHeld = aHeld;
  mTotal += aHeld.mBytes;
  mLarge += IsLarge(aHolder) ? aHeld.mBytes : 0;
}

bool
RequestAccount::TooMuch(const Holder& aGrown) const
{
  return mTotal > mLimits.mBytes ||
         (IsLarge(aGrown) && mLarge > mLimits.mLargeBytes);
}

bool
RequestAccount::Set(Id aId, const HeldBytes& aHeld, TimePoint aNow)
{
  auto found = mHolders.find(aId);
  if (found == mHolders.end()) {
    return false;
  }
  bool grown = aHeld.mBytes > found->second.mHeld.mBytes;
  Count(found->second, aHeld);
  while (grown && TooMuch(found->second)) {
    auto victim = Victim(mTotal <= mLimits.mBytes, aNow);
    if (victim == mHolders.end() && aHeld.mRule == GiveUpRule::Last) {
      victim = found;
    }
    if (victim == mHolders.end()) {
      break; // what is held runs already
    }
    bool self = victim == found;
    GiveUp(victim, aNow);
    if (self) {
      return false;
    }
    found = mHolders.find(aId);
    if (found == mHolders.end()) {
      return false;
    }
  }
  mPeak = std::max(mPeak, mTotal);
  return true;
}

void
RequestAccount::Progress(Id aId, size_t aBytes, TimePoint aNow)
{
  auto found = mHolders.find(aId);
  if (found == mHolders.end()) {
    return;
  }
  Holder& holder = found->second;
  size_t left = kProgressBytes - holder.mSinceProgress;
  if (aBytes >= left) {
    holder.mSinceProgress = 0;
    holder.mProgressAt = aNow;
  } else {
    holder.mSinceProgress += aBytes;
  }
}

bool
RequestAccount::StandsStill(const Holder& aHolder, TimePoint aNow)
{
  return aNow - aHolder.mProgressAt >= kStandstill;
}

bool
RequestAccount::StandsStill(Id aId, TimePoint aNow) const
{
  auto found = mHolders.find(aId);
  return found != mHolders.end() && StandsStill(found->second, aNow);
}

// Who stands still goes first, then the largest.
RequestAccount::HolderMap::iterator
RequestAccount::Victim(bool aLargeOnly, TimePoint aNow)
{
  auto victim = mHolders.end();
  std::tuple<bool, size_t> most;
  for (auto at = mHolders.begin(); at != mHolders.end(); ++at) {
    const Holder& holder = at->second;
    bool still = StandsStill(holder, aNow);
    GiveUpRule rule = holder.mHeld.mRule;
    bool may =
      rule == GiveUpRule::Always || (rule != GiveUpRule::Never && still);
    size_t releasable = holder.mHeld.mReleasable;
    std::tuple<bool, size_t> rank(still, releasable);
    if (may && releasable > 0 && (!aLargeOnly || IsLarge(holder)) &&
        (victim == mHolders.end() || rank > most)) {
      victim = at;
      most = rank;
    }
  }
  return victim;
}

size_t
RequestAccount::GiveUpStanding(Group aGroup, size_t aCount, TimePoint aNow)
{
  size_t count = 0;
  for (auto at = mHolders.begin(); at != mHolders.end() && count < aCount;) {
    auto next = std::next(at);
    const Holder& holder = at->second;
    if (holder.mGroup == aGroup && holder.mHeld.mRule == GiveUpRule::Always &&
        StandsStill(holder, aNow)) {
      GiveUp(at, aNow);
      ++count;
    }
    at = next;
  }
  return count;
}

RequestAccountFigures
RequestAccount::Figures() const
{
  return { mLimits.mBytes, mTotal, mLarge, mPeak, mGivenUp, mGivenUpStill };
}

void
RequestAccount::GiveUp(HolderMap::iterator aVictim, TimePoint aNow)
{
  Id id = aVictim->first;
  ++mGivenUp;
  mGivenUpStill += StandsStill(aVictim->second, aNow) ? 1 : 0;
  auto giveUp = aVictim->second.mGiveUp;
  // Nothing is counted for it from here on, whatever giveUp does.
  Remove(id);
  giveUp();
}

} // namespace caraway
