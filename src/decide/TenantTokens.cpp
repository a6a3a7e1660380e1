#include "decide/TenantTokens.h"

#include <algorithm>

namespace caraway {

namespace {

// Split evenly: tenants use about half of their limit, so that most requests
// are let in without a question.
constexpr double kEven = 0.5;

// Left by the least urgent routes; those between leave less. Small, so that a
// burst of one route alone still finds most of its tenant's burst.
constexpr double kReserve = 0.25;

// A usual request's tokens: below this an even part is of no use, and the
// keeper has it all.
constexpr double kUsualCost = 2000;

// An instance keeps so much of its even part's burst for its own next requests,
// and gives away what accrues beyond, not in crumbs. A tenant whose callers
// come to three instances of eight had a third of its rate spill elsewhere, and
// was refused at 62% of its limit.
constexpr double kKept = 0.5;

constexpr double kLeastSpare = 0.05;

// When a bucket can't tell, e.g. a tenant with no rate left.
constexpr Millis kUnknown{ 1000 };

} // namespace

double
ReserveFor(int aPriority, int aLeastUrgent)
{
  return aLeastUrgent <= 0
           ? 0
           : kReserve * std::clamp(aPriority, 0, aLeastUrgent) / aLeastUrgent;
}

double
EvenShare(const TenantLimit& aLimit, int aInstances)
{
  double part = kEven / std::max(1, aInstances);
  double usual = aLimit.mInTokens ? kUsualCost : 1;
  return aLimit.mBurst * part < usual ? 0 : part;
}

double
KeeperShare(const TenantLimit& aLimit, int aInstances, size_t aZones)
{
  double common = EvenShare(aLimit, aInstances) > 0 ? 1 - kEven : 1;
  return common / static_cast<double>(std::max<size_t>(aZones, 1));
}

TokenBucket&
TenantBuckets::Bucket(const TenantLimit& aLimit, double aShare, TimePoint aNow)
{
  double rate = aLimit.mRate * aShare;
  double burst = aLimit.mBurst * aShare;
  auto found = mBuckets.find(aLimit.mName);
  if (found == mBuckets.end()) {
    return mBuckets.emplace(aLimit.mName, TokenBucket(rate, burst, aNow))
      .first->second;
  }
  TokenBucket& bucket = found->second;
  if (bucket.Rate() != rate || bucket.Burst() != burst) {
    bucket.Resize(rate, burst, aNow);
  }
  return bucket;
}

bool
TenantBuckets::Take(const TenantLimit& aLimit,
                    double aShare,
                    double aTokens,
                    double aReserve,
                    bool aLends,
                    TimePoint aNow)
{
  if (aShare <= 0) {
    return false;
  }
  TokenBucket& bucket = Bucket(aLimit, aShare, aNow);
  if (!aLends && aTokens > bucket.Burst()) {
    return false;
  }
  double most = std::min(aTokens, bucket.Burst());
  double reserve = std::min(aReserve * bucket.Burst(), bucket.Burst() - most);
  if (bucket.Level(aNow) < most + reserve) {
    return false;
  }
  if (!bucket.Take(most, aNow)) {
    return false;
  }
  bucket.Owe(aTokens - most, aNow);
  return true;
}

void
TenantBuckets::GiveBack(const std::string& aTenant,
                        double aTokens,
                        TimePoint aTakenAt,
                        TimePoint aNow)
{
  auto found = mBuckets.find(aTenant);
  if (found != mBuckets.end()) {
    found->second.GiveBack(aTokens, aTakenAt, aNow);
  }
}

double
TenantBuckets::TakeSpare(const TenantLimit& aLimit,
                         double aShare,
                         TimePoint aNow)
{
  if (aShare <= 0) {
    return 0;
  }
  TokenBucket& bucket = Bucket(aLimit, aShare, aNow);
  double spare = bucket.Level(aNow) - kKept * bucket.Burst();
  if (spare < kLeastSpare * bucket.Burst() || !bucket.Take(spare, aNow)) {
    return 0;
  }
  return spare;
}

void
TenantBuckets::Add(const TenantLimit& aLimit,
                   double aShare,
                   double aTokens,
                   TimePoint aNow)
{
  if (aShare > 0) {
    Bucket(aLimit, aShare, aNow).Add(aTokens, aNow);
  }
}

void
TenantBuckets::Prepare(const TenantLimit& aLimit, double aShare, TimePoint aNow)
{
  if (aShare > 0) {
    Bucket(aLimit, aShare, aNow);
  }
}

Millis
TenantBuckets::Until(const std::string& aTenant,
                     double aTokens,
                     double aReserve,
                     TimePoint aNow)
{
  auto found = mBuckets.find(aTenant);
  if (found == mBuckets.end()) {
    return kUnknown;
  }
  TokenBucket& bucket = found->second;
  double level = std::min(aTokens + aReserve * bucket.Burst(), bucket.Burst());
  Millis until = bucket.Until(level, aNow);
  return until < Millis(0) ? kUnknown : until;
}

} // namespace caraway
