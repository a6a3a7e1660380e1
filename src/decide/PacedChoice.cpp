#include "decide/PacedChoice.h"

#include <algorithm>

namespace caraway {

namespace {

// Range of a random term for each cost, in requests per slot, when many
// instances send. Others' requests of the time since the last reports can't be
// seen; without the term small differences of old figures decide, and all
// instances send to the same servers in turn.
constexpr double kUnseenLoad = 0.8;

// The request itself counts: a slow server without requests isn't free of cost.
double
CostOf(const Backend& aBackend,
       const ServerRequirements& aRequirements,
       TimePoint aNow)
{
  int requests =
    1 + std::max(aBackend.RequestsInFlight(), aBackend.ReportedRequests(aNow));
  double slots = std::max(1, aBackend.mEntry.mSlots);
  double load = aBackend.mPace.Estimate(aNow) * requests / slots;
  return aBackend.Cost(load, aRequirements.mZone);
}

// Uniform over [0, aCount).
size_t
Draw(size_t aCount, std::mt19937& aRandom)
{
  return std::uniform_int_distribution<size_t>(0, aCount - 1)(aRandom);
}

Backend*
BetterOfTwo(const std::vector<Backend*>& aCandidates,
            const ServerRequirements& aRequirements,
            TimePoint aNow,
            std::mt19937& aRandom)
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
  double others = 1 - 1.0 / std::max(1, aRequirements.mInstances);
  std::uniform_real_distribution<double> noise(0, kUnseenLoad * others);
  double costOfOne = CostOf(*one, aRequirements, aNow) + noise(aRandom);
  double costOfOther = CostOf(*other, aRequirements, aNow) + noise(aRandom);
  return costOfOne <= costOfOther ? one : other;
}

// Leaves those for which aGood holds, unless there are none.
template<typename Predicate>
void
Prefer(std::vector<Backend*>& aCandidates, Predicate aGood)
{
  auto end =
    std::stable_partition(aCandidates.begin(), aCandidates.end(), aGood);
  if (end != aCandidates.begin()) {
    aCandidates.erase(end, aCandidates.end());
  }
}

} // namespace

Backend*
ChooseByPace(const std::vector<Backend*>& aCandidates,
             const ServerRequirements& aRequirements,
             TimePoint aNow,
             std::mt19937& aRandom)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  std::vector<Backend*> candidates = aCandidates;
  Prefer(candidates, [&](const Backend* aBackend) {
    return !aRequirements.Avoids(*aBackend, aNow);
  });
  return BetterOfTwo(candidates, aRequirements, aNow, aRandom);
}

} // namespace caraway
