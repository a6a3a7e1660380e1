#include "decide/RateSplit.h"

#include <algorithm>

#include "decide/Rendezvous.h"

namespace caraway {

namespace {

// Minimum size of a part, for limits in tokens and in requests: a few usual
// requests, so that the part can pay one without borrowing.
constexpr double kMinPartTokens = 4000;
constexpr double kMinPartRequests = 4;

// Reserve kept by the least urgent routes; more urgent ones keep less. Small,
// so that a burst on a single route still finds most of its tenant's burst.
constexpr double kReserve = 0.25;

// Minimum share of the burst that is split.
constexpr double kMinSplitShare = 0.5;

} // namespace

double
SplitBurst(const TenantLimit& aLimit)
{
  double loanSeconds = std::chrono::duration<double>(kLoanLife).count();
  return std::max(aLimit.mBurst - aLimit.mRate * loanSeconds,
                  kMinSplitShare * aLimit.mBurst);
}

std::vector<std::string>
HoldersOf(const TenantLimit& aLimit,
          size_t aZones,
          const std::vector<std::string>& aMembers)
{
  double least = aLimit.mInTokens ? kMinPartTokens : kMinPartRequests;
  double ofZone =
    SplitBurst(aLimit) / static_cast<double>(std::max<size_t>(aZones, 1));
  auto parts = static_cast<size_t>(std::max(1.0, ofZone / least));
  return RendezvousFirst(aMembers, aLimit.mName, parts);
}

double
ReserveFor(int aPriority, int aLeastUrgent)
{
  return aLeastUrgent <= 0
           ? 0
           : kReserve * std::clamp(aPriority, 0, aLeastUrgent) / aLeastUrgent;
}

} // namespace caraway
