#include "decide/PacedChoice.h"

#include <algorithm>

namespace caraway {

namespace {

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
  size_t first = Draw(count, aRandom);
  if (count == 1) {
    return aCandidates[first];
  }
  size_t second = (first + 1 + Draw(count - 1, aRandom)) % count;
  Backend* one = aCandidates[first];
  Backend* other = aCandidates[second];
  return CostOf(*one, aRequirements, aNow) <=
             CostOf(*other, aRequirements, aNow)
           ? one
           : other;
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
