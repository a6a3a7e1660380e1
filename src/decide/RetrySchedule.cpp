#include "decide/RetrySchedule.h"

#include <algorithm>

#include "base/EraseIf.h"

namespace caraway {

namespace {

// Allowance for the caller's timer and the network.
constexpr Millis kLateTolerance{ 1500 };
constexpr size_t kMaxRetriesPerTenant = 2000; // to bound memory
constexpr double kInitialReturnRate = 0.5;    // until observed
constexpr double kReturnRateWeight = 0.1;     // of one return in the average
// A return rate outlasts a calm time of its tenant, but not the tenant.
constexpr Seconds kReturnRateLife{ 3600 };

} // namespace

void
RetrySchedule::Add(const std::string& aTenant,
                   uint64_t aRequestDigest,
                   double aTokens,
                   TimePoint aDue)
{
  TenantRetries& tenant = mTenants[aTenant];
  if (tenant.mDue.size() < kMaxRetriesPerTenant &&
      tenant.mDueByDigest[aRequestDigest].insert(aDue).second) {
    tenant.mDue.emplace(aDue, std::make_pair(aRequestDigest, aTokens));
  }
}

std::optional<TimePoint>
RetrySchedule::FirstDue(const std::string& aTenant,
                        uint64_t aRequestDigest) const
{
  auto tenant = mTenants.find(aTenant);
  if (tenant == mTenants.end()) {
    return std::nullopt;
  }
  auto dueTimes = tenant->second.mDueByDigest.find(aRequestDigest);
  return dueTimes == tenant->second.mDueByDigest.end()
           ? std::nullopt
           : std::optional<TimePoint>(*dueTimes->second.begin());
}

void
RetrySchedule::Consume(const std::string& aTenant,
                       uint64_t aRequestDigest,
                       TimePoint aNow)
{
  UpdateReturnRate(aTenant, true, aNow);
  TenantRetries& tenant = mTenants[aTenant];
  auto range =
    tenant.mDue.equal_range(*tenant.mDueByDigest[aRequestDigest].begin());
  for (auto entry = range.first; entry != range.second; ++entry) {
    if (entry->second.first == aRequestDigest) {
      tenant.mDue.erase(entry);
      break;
    }
  }
  tenant.EraseFirst(aRequestDigest);
  if (tenant.mDue.empty()) {
    mTenants.erase(aTenant);
  }
}

void
RetrySchedule::TenantRetries::EraseFirst(uint64_t aRequestDigest)
{
  auto digest = mDueByDigest.find(aRequestDigest);
  digest->second.erase(digest->second.begin());
  if (digest->second.empty()) {
    mDueByDigest.erase(digest);
  }
}

void
RetrySchedule::UpdateReturnRate(const std::string& aTenant,
                                bool aReturned,
                                TimePoint aNow)
{
  ReturnRate initial{ kInitialReturnRate };
  ReturnRate& rate = mReturnRates.emplace(aTenant, initial).first->second;
  rate.mRate += kReturnRateWeight * ((aReturned ? 1.0 : 0.0) - rate.mRate);
  rate.mObservedAt = aNow;
}

double
RetrySchedule::ReturnProbability(const std::string& aTenant) const
{
  if (mTenants.count(aTenant) == 0) {
    return 0;
  }
  auto rate = mReturnRates.find(aTenant);
  return rate == mReturnRates.end() ? kInitialReturnRate : rate->second.mRate;
}

double
RetrySchedule::Sum(const std::string& aTenant,
                   const TenantRetries& aRetries,
                   TimePoint aUntil) const
{
  double tokens = 0;
  for (auto entry = aRetries.mDue.begin();
       entry != aRetries.mDue.end() && entry->first < aUntil;
       ++entry) {
    tokens += entry->second.second;
  }
  return tokens * ReturnProbability(aTenant);
}

double
RetrySchedule::Tokens(const std::string& aTenant, TimePoint aUntil) const
{
  auto tenant = mTenants.find(aTenant);
  return tenant == mTenants.end() ? 0 : Sum(aTenant, tenant->second, aUntil);
}

double
RetrySchedule::OthersTokens(const std::string& aTenant,
                            TimePoint aUntil,
                            double aMaxPerTenant) const
{
  double tokens = 0;
  for (const auto& tenant : mTenants) {
    if (tenant.first != aTenant) {
      tokens +=
        std::min(Sum(tenant.first, tenant.second, aUntil), aMaxPerTenant);
    }
  }
  return tokens;
}

void
RetrySchedule::Expire(TimePoint aNow)
{
  for (auto tenant = mTenants.begin(); tenant != mTenants.end();) {
    auto& due = tenant->second.mDue;
    while (!due.empty() && due.begin()->first < aNow - kLateTolerance) {
      UpdateReturnRate(tenant->first, false, aNow);
      tenant->second.EraseFirst(due.begin()->second.first);
      due.erase(due.begin());
    }
    tenant = due.empty() ? mTenants.erase(tenant) : std::next(tenant);
  }
  EraseIf(mReturnRates, [aNow](const auto& aRate) {
    return aNow - aRate.second.mObservedAt > kReturnRateLife;
  });
}

} // namespace caraway
