#include "serve/BriefingTurns.h"

namespace caraway {

namespace {

// Longer than any write is on its way, and than any read is behind.
constexpr Seconds kForgetUnkept{ 600 };

} // namespace

BriefingTurns::BriefingTurns(BriefingStore& aStore, const Clock& aClock)
  : mStore(aStore)
  , mClock(aClock)
{
}

bool
BriefingTurns::Take(const std::string& aId, const Attempt& aAttempt)
{
  auto stored = Outcome([&] { return mStore.Read(aId); });
  bool ended = false;
  if (auto* found = std::get_if<StoredBriefing>(&stored)) {
    ended = EndedNow(*found, aAttempt);
  } else if (std::get<Failure>(stored).mKind == ErrorKind::NotFound) {
    ended = LongMissing(aId);
  }
  if (ended) {
    // Where this fails the next turn finds it ended and tries again.
    FailureIn([&] { return mStore.Close(aId); });
  }
  return ended;
}

bool
BriefingTurns::EndedNow(StoredBriefing& aStored, const Attempt& aAttempt)
{
  if (aStored.mBriefing.mState != BriefingState::Accepted) {
    return true;
  }
  std::optional<Briefing> ending = aAttempt(aStored.mBriefing);
  if (!ending) {
    return false;
  }
  return !FailureIn([&] { return mStore.End(aStored, *ending); });
}

bool
BriefingTurns::LongMissing(const std::string& aId)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  bool over = now - mMissing.emplace(aId, now).first->second > kForgetUnkept;
  if (over) {
    mMissing.erase(aId);
  }
  return over;
}

} // namespace caraway
