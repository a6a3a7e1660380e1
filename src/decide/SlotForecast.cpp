#include "decide/SlotForecast.h"

#include <algorithm>
#include <cmath>

#include "base/EraseIf.h"

namespace caraway {

namespace {

using SecondsF = std::chrono::duration<double>;

// Models become popular and cease to be within seconds.
constexpr SecondsF kContentionMemory{ 8 };

// Attempts are made every 25 ms while a request waits. A longer pause is no
// evidence: nothing waited, or this instance stood still.
constexpr Millis kMaxAttemptGap{ 100 };

// Counts from before a pause of this length are dropped: the requests that wait
// next may be a burst at this instance alone.
constexpr Millis kContentionEnd{ 1000 };

// Standard normal quantile at 95%.
constexpr double kZ95 = 1.645;
// Standard normal quantile at 84%. The number of competing instances is already
// taken at its lower bound.
constexpr double kZ84 = 1.0;

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
  return aCount + kZ95 * (std::sqrt(aCount + 1) - 1) + kAtZero;
}

// Mean number of events for which one in six trials has aCount or more: the
// Wilson-Hilferty approximation of a gamma distribution's quantile.
double
LowerQuantile(double aCount)
{
  double root = 1 - 1 / (9 * aCount) - kZ84 / (3 * std::sqrt(aCount));
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
DecayFactor(TimePoint aThen, TimePoint aNow)
{
  return aNow - aThen > kContentionEnd
           ? 0
           : std::exp(-SecondsF(aNow - aThen) / kContentionMemory);
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
  Contention& contention = mContentions.try_emplace(aPool).first->second;
  double remaining = DecayFactor(contention.mAt, aNow);
  contention.mFreed *= remaining;
  contention.mTaken *= remaining;
  if (Known(aFacts) && aNow - contention.mAt <= kMaxAttemptGap) {
    contention.mFreed += SecondsF(aNow - contention.mAt) / SlotGap(aFacts);
  }
  contention.mAt = aNow;
}

void
SlotForecast::OnSlotTaken(const std::string& aPool, TimePoint aNow)
{
  auto contention = mContentions.find(aPool);
  if (contention != mContentions.end() &&
      aNow - contention->second.mAt <= kMaxAttemptGap) {
    contention->second.mTaken += 1;
  }
}

void
SlotForecast::OnRejected(const std::string& aPool, TimePoint aNow)
{
  auto contention = mContentions.find(aPool);
  if (contention != mContentions.end() &&
      aNow - contention->second.mAt <= kMaxAttemptGap) {
    contention->second.mTaken = std::max(0.0, contention->second.mTaken - 1);
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
  auto contention = mContentions.find(aPool);
  if (contention != mContentions.end()) {
    double remaining = DecayFactor(contention->second.mAt, aNow);
    freed = contention->second.mFreed * remaining;
    taken = contention->second.mTaken * remaining;
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
  Contention& contention = mContentions.try_emplace(aPool).first->second;
  Millis perSlot = aTimes.mLikely / (aFacts.mAhead + 1);
  TimePoint at =
    std::max(aNow + aTimes.mLikely, contention.mRetriesUntil + perSlot);
  contention.mRetriesUntil = std::min(at, aNow + kMaxRetryAfter);
  return std::chrono::duration_cast<Millis>(contention.mRetriesUntil - aNow);
}

void
SlotForecast::ForgetOld(TimePoint aNow)
{
  if (aNow - mForgotAt < kMaxRetryAfter) {
    return;
  }
  mForgotAt = aNow;
  EraseIf(mContentions, [aNow](const auto& aEntry) {
    const Contention& contention = aEntry.second;
    return aNow - contention.mAt > kMaxRetryAfter &&
           contention.mRetriesUntil < aNow;
  });
}

} // namespace caraway
