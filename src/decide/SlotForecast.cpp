#include "decide/SlotForecast.h"

#include <algorithm>
#include <cmath>

#include "base/EraseIf.h"

namespace caraway {

namespace {

using SecondsF = std::chrono::duration<double>;

// Models become popular and cease to be within seconds.
constexpr SecondsF kContestMemory{ 8 };

// Attempts are made every 25 ms while a request waits. A longer pause is no
// evidence: nothing waited, or this instance stood still.
constexpr Millis kMaxAttemptGap{ 100 };

// What was seen of a contest says nothing of the next one, which may be a burst
// at this instance alone.
constexpr Millis kContestEnd{ 1000 };

// Deviations from the mean beyond which one in twenty values lies.
constexpr double kOneInTwenty = 1.645;
// The same for about one in six. The number of competing instances is already
// taken at its lower bound.
constexpr double kOneInSix = 1.0;

// A route with a smaller share of the requests doesn't make the run time
// unknown.
constexpr double kNegligibleShare = 0.02;

constexpr Seconds kMaxRetryAfter{ 30 };

// The count that is exceeded with a probability of one in twenty if aCount
// events were expected to occur; the usual approximation for a Poisson mean.
double
UpperBound(double aCount)
{
  constexpr double kAtZero = 3.0; // -ln(1/20)
  return aCount + kOneInTwenty * (std::sqrt(aCount + 1) - 1) + kAtZero;
}

// Mean number of events for which one in six trials has aCount or more: the
// Wilson-Hilferty approximation of a gamma distribution's quantile.
double
LowerQuantile(double aCount)
{
  double root = 1 - 1 / (9 * aCount) - kOneInSix / (3 * std::sqrt(aCount));
  return aCount * root * root * root;
}

// Time between two slots that come free.
SecondsF
SlotGap(const SlotFacts& aFacts)
{
  return SecondsF(aFacts.mRunTime) / std::max(1, aFacts.mSlots);
}

bool
Known(const SlotFacts& aFacts)
{
  return aFacts.mSlots > 0 && aFacts.mRunTime > Millis(0);
}

double
Remaining(TimePoint aThen, TimePoint aNow)
{
  return aNow - aThen > kContestEnd
           ? 0
           : std::exp(-SecondsF(aNow - aThen) / kContestMemory);
}

Millis
Rounded(SecondsF aTime)
{
  return std::chrono::duration_cast<Millis>(aTime);
}

} // namespace

void
SlotForecast::OnSent(const std::string& aService,
                     const std::string& aRoute,
                     TimePoint aNow)
{
  mSentByService[aService].Add(aRoute, 1, aNow);
}

Millis
SlotForecast::RunTime(const std::string& aService,
                      const RunTimeEstimates& aRunTimes,
                      TimePoint aNow) const
{
  auto found = mSentByService.find(aService);
  if (found == mSentByService.end()) {
    return Millis(0);
  }
  constexpr RunFacts kAllSlotsInUse{ 0, 1 };
  std::map<std::string, double> rates = found->second.Rates(aNow);
  double all = 0;
  for (const auto& [route, rate] : rates) {
    all += rate;
  }
  SecondsF sum{ 0 };
  double counted = 0;
  for (const auto& [route, rate] : rates) {
    Millis typical = aRunTimes.TypicalTime(route, kAllSlotsInUse);
    if (typical > Millis(0)) {
      sum += SecondsF(typical) * rate;
      counted += rate;
    } else if (rate > kNegligibleShare * all) {
      return Millis(0);
    }
  }
  return counted > 0 ? Rounded(sum / counted) : Millis(0);
}

void
SlotForecast::OnWaiting(const std::string& aPool,
                        const SlotFacts& aFacts,
                        TimePoint aNow)
{
  ForgetOld(aNow);
  Contest& contest = mContests.try_emplace(aPool).first->second;
  double remaining = Remaining(contest.mAt, aNow);
  contest.mFreed *= remaining;
  contest.mTaken *= remaining;
  if (Known(aFacts) && aNow - contest.mAt <= kMaxAttemptGap) {
    contest.mFreed += SecondsF(aNow - contest.mAt) / SlotGap(aFacts);
  }
  contest.mAt = aNow;
}

void
SlotForecast::OnSlotTaken(const std::string& aPool, TimePoint aNow)
{
  auto contest = mContests.find(aPool);
  if (contest != mContests.end() &&
      aNow - contest->second.mAt <= kMaxAttemptGap) {
    contest->second.mTaken += 1;
  }
}

void
SlotForecast::OnRejected(const std::string& aPool, TimePoint aNow)
{
  auto contest = mContests.find(aPool);
  if (contest != mContests.end() &&
      aNow - contest->second.mAt <= kMaxAttemptGap) {
    contest->second.mTaken = std::max(0.0, contest->second.mTaken - 1);
  }
}

std::optional<SlotTimes>
SlotForecast::Expect(const std::string& aPool,
                     const SlotFacts& aFacts,
                     TimePoint aNow) const
{
  if (!Known(aFacts)) {
    return std::nullopt;
  }
  double freed = 0;
  double taken = 0;
  auto contest = mContests.find(aPool);
  if (contest != mContests.end()) {
    double remaining = Remaining(contest->second.mAt, aNow);
    freed = contest->second.mFreed * remaining;
    taken = contest->second.mTaken * remaining;
  }
  double instances = std::max(1, aFacts.mInstances);
  double fewest = std::clamp(freed / UpperBound(taken), 1.0, instances);
  double likely = std::clamp(freed / std::max(1.0, taken), 1.0, instances);
  double place = aFacts.mAhead + 1;
  SecondsF gap = SlotGap(aFacts);
  return SlotTimes{ Rounded(gap * fewest * LowerQuantile(place)),
                    Rounded(gap * likely * place) };
}

Millis
SlotForecast::ReserveRetry(const std::string& aPool,
                           const SlotTimes& aTimes,
                           const SlotFacts& aFacts,
                           TimePoint aNow)
{
  Contest& contest = mContests.try_emplace(aPool).first->second;
  Millis perSlot = aTimes.mLikely / (aFacts.mAhead + 1);
  TimePoint at =
    std::max(aNow + aTimes.mLikely, contest.mRetriesUntil + perSlot);
  contest.mRetriesUntil = std::min(at, aNow + kMaxRetryAfter);
  return std::chrono::duration_cast<Millis>(contest.mRetriesUntil - aNow);
}

void
SlotForecast::ForgetOld(TimePoint aNow)
{
  if (aNow - mForgotAt < kMaxRetryAfter) {
    return;
  }
  mForgotAt = aNow;
  EraseIf(mContests, [aNow](const auto& aEntry) {
    const Contest& contest = aEntry.second;
    return aNow - contest.mAt > kMaxRetryAfter && contest.mRetriesUntil < aNow;
  });
}

} // namespace caraway
