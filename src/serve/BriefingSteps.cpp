#include "serve/BriefingSteps.h"

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Longer than any write can be in flight and any read can be stale.
constexpr Seconds kMissingGrace{ 600 };

} // namespace

BriefingSteps::BriefingSteps(BriefingStore& aStore, const Clock& aClock)
  : mStore(aStore)
  , mClock(aClock)
{
}

bool
BriefingSteps::Process(const std::string& aId, const Attempt& aAttempt)
{
  auto stored = Outcome([&] { return mStore.Read(aId); });
  bool ended = false;
  if (auto* found = std::get_if<StoredBriefing>(&stored)) {
    ended = RunIfOpen(*found, aAttempt);
  } else if (std::get<Failure>(stored).mKind == ErrorKind::NotFound) {
    ended = MissingForTooLong(aId);
  }
  if (ended) {
    // If this fails, the next round finds the briefing finished and retries.
    FailureIn([&] { return mStore.RemoveFromList(aId); });
  }
  return ended;
}

bool
BriefingSteps::RunIfOpen(StoredBriefing& aStored, const Attempt& aAttempt)
{
  if (aStored.mBriefing.mState != BriefingState::Accepted) {
    return true;
  }
  std::optional<Briefing> finished = aAttempt(aStored.mBriefing);
  if (!finished) {
    return false;
  }
  return !FailureIn([&] { return mStore.StoreResult(aStored, *finished); });
}

size_t
BriefingSteps::Missing() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mMissing.size();
}

bool
BriefingSteps::MissingForTooLong(const std::string& aId)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  // One that is still listed is looked at every few seconds. The others were
  // stored late, or dropped from the list by another instance.
  EraseIf(mMissing, [now](const auto& aMissing) {
    return now - aMissing.second > 2 * kMissingGrace;
  });
  bool over = now - mMissing.emplace(aId, now).first->second > kMissingGrace;
  if (over) {
    mMissing.erase(aId);
  }
  return over;
}

} // namespace caraway
