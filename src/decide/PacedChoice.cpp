#include "decide/PacedChoice.h"

#include <algorithm>

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

// Range of a random term for each cost, in requests per slot, when many
// instances send. Others' requests of the time since the last reports can't be
// seen; without the term small differences of old figures decide, and all
// instances send to the same servers in turn.
constexpr double kUnseenLoad = 0.8;

// A first event that takes this share of the request's target costs as much as
// a full server. Where reading prompts alone takes longer, others are
// preferred.
constexpr double kTargetShare = 0.5;

// A prompt is long if reading it takes more than this share of the longest
// pause that streams of its service may make.
constexpr double kLongPromptShare = 1.0 / 3;

// Highest cost that keeps long and short prompts apart: as a full server. A
// server's room is still used by the other kind when the rest are busier.
constexpr double kApartCost = 1;

// With fewer long prompts than this share of all tokens none are kept apart.
constexpr double kLeastLongShare = 0.05;

// Requests reported as waiting count for this time; their prompts have been
// read by then.
constexpr Millis kWaitingLife{ 500 };

// Longer stated prompts count as this many tokens.
constexpr double kMaxPromptTokens = 200000;

// Uniform over [0, aCount).
size_t
Draw(size_t aCount, std::mt19937& aRandom)
{
  return std::uniform_int_distribution<size_t>(0, aCount - 1)(aRandom);
}

} // namespace

PacedChoice::PacedChoice(const ServerRequirements& aRequirements,
                         const FirstTokenEstimate& aFirstToken,
                         TimePoint aNow)
  : mRequirements(aRequirements)
  , mFirstToken(aFirstToken)
  , mNow(aNow)
  , mPromptTokens(
      std::min(aRequirements.mPromptTokens.value_or(aFirstToken.UsualPrompt()),
               kMaxPromptTokens))
  , mReadingTime(aFirstToken.ReadingTime(mPromptTokens))
{
}

int
PacedChoice::RequestsAt(const Backend& aBackend) const
{
  return std::max(aBackend.RequestsInFlight(), aBackend.ReportedRequests(mNow));
}

// Others' prompts are known only as waiting requests in a recent report.
FirstTokenFacts
PacedChoice::FactsAt(const Backend& aBackend) const
{
  FirstTokenFacts facts;
  facts.mPromptTokens = aBackend.mUnreadTokens + mPromptTokens;
  if (aBackend.mLoadReport && mNow - aBackend.mLoadReportAt < kWaitingLife) {
    facts.mPromptTokens +=
      aBackend.mLoadReport->mWaiting * mFirstToken.UsualPrompt();
  }
  facts.mOwnTokens = mPromptTokens;
  facts.mLong = IsLong();
  facts.mRequests = 1 + RequestsAt(aBackend);
  facts.mPace = aBackend.mPace.Estimate(mNow);
  return facts;
}

// Part of the requests that this instance doesn't see.
double
PacedChoice::OthersPart() const
{
  return 1 - 1.0 / std::max(1, mRequirements.mInstances);
}

// Instances that see the same candidates rank them alike, without any messages.
void
PacedChoice::RankServers(const std::vector<Backend*>& aCandidates)
{
  mRanks.clear();
  if (aCandidates.size() < 2 || mFirstToken.LongShare() < kLeastLongShare) {
    return;
  }
  std::vector<std::string> ids;
  for (const Backend* backend : aCandidates) {
    ids.push_back(backend->mEntry.mId);
  }
  const std::string& key = mRequirements.mModel.empty() ? mRequirements.mService
                                                        : mRequirements.mModel;
  double rank = 0;
  for (const std::string& id : RendezvousFirst(ids, key, ids.size())) {
    mRanks[id] = rank / static_cast<double>(ids.size() - 1);
    ++rank;
  }
}

// Long prompts rather go to servers of low rank, short ones to those of high
// rank, the more so the more of all reading is that of long prompts.
double
PacedChoice::ApartCost(const Backend& aBackend) const
{
  auto found = mRanks.find(aBackend.mEntry.mId);
  if (found == mRanks.end()) {
    return 0;
  }
  double distance = IsLong() ? found->second : 1 - found->second;
  return kApartCost * OthersPart() * mFirstToken.LongShare() * distance;
}

// The request itself counts: a slow server without requests isn't free of cost.
double
PacedChoice::CostOf(const Backend& aBackend) const
{
  FirstTokenFacts facts = FactsAt(aBackend);
  double load =
    facts.mPace * facts.mRequests / std::max(1, aBackend.mEntry.mSlots);
  double wait =
    std::chrono::duration<double>(mFirstToken.Expected(facts)) /
    std::chrono::duration<double>(std::max(mRequirements.mTarget, Millis(1)));
  return aBackend.Cost(load + wait / kTargetShare + ApartCost(aBackend),
                       mRequirements.mZone);
}

bool
PacedChoice::IsTrusted(const Backend& aBackend) const
{
  return !mRequirements.Avoids(aBackend, mNow);
}

// By what this instance knows for certain: a server must not be left out for an
// old figure.
bool
PacedChoice::ReadsInTime(const Backend& aBackend) const
{
  return mFirstToken.ReadingTime(aBackend.mUnreadTokens + mPromptTokens) <=
         mRequirements.mTarget * kTargetShare;
}

bool
PacedChoice::KeepsGapAim(const Backend& aBackend) const
{
  return RequestsAt(aBackend) == 0 ||
         mReadingTime * aBackend.mPace.Estimate(mNow) <= mRequirements.mGapAim;
}

bool
PacedChoice::ReadsNothing(const Backend& aBackend) const
{
  // Sums of estimated lengths may leave a fraction of a token.
  return aBackend.mUnreadTokens < 1;
}

bool
PacedChoice::IsLong() const
{
  return mRequirements.mGapAim > Millis(0) &&
         mReadingTime > mRequirements.mGapAim * kLongPromptShare;
}

// Leaves those for which aGood holds, unless there are none.
void
PacedChoice::Prefer(std::vector<Backend*>& aCandidates, Condition aGood) const
{
  auto end = std::stable_partition(
    aCandidates.begin(), aCandidates.end(), [&](const Backend* aBackend) {
      return (this->*aGood)(*aBackend);
    });
  if (end != aCandidates.begin()) {
    aCandidates.erase(end, aCandidates.end());
  }
}

Backend*
PacedChoice::BetterOfTwo(const std::vector<Backend*>& aCandidates,
                         std::mt19937& aRandom) const
{
  size_t count = aCandidates.size();
  Backend* one = aCandidates[Draw(count, aRandom)];
  if (count == 1) {
    return one;
  }
  Backend* other = aCandidates[Draw(count - 1, aRandom)];
  if (other == one) {
    other = aCandidates.back();
  }
  std::uniform_real_distribution<double> noise(0, kUnseenLoad * OthersPart());
  double costOfOne = CostOf(*one) + noise(aRandom);
  double costOfOther = CostOf(*other) + noise(aRandom);
  return costOfOne <= costOfOther ? one : other;
}

Backend*
PacedChoice::Choose(std::vector<Backend*> aCandidates, std::mt19937& aRandom)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  RankServers(aCandidates);
  Prefer(aCandidates, &PacedChoice::IsTrusted);
  if (IsLong()) {
    Prefer(aCandidates, &PacedChoice::ReadsNothing);
    Prefer(aCandidates, &PacedChoice::KeepsGapAim);
  }
  Prefer(aCandidates, &PacedChoice::ReadsInTime);
  return BetterOfTwo(aCandidates, aRandom);
}

} // namespace caraway
