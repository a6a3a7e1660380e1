#include "decide/TokenHolders.h"

#include <algorithm>

#include "decide/RateSplit.h"

namespace caraway {

namespace {

// Whether the same instances hold both limits.
bool
SameSplit(const TenantLimit& aOne, const TenantLimit& aOther)
{
  return aOne.mRate == aOther.mRate && aOne.mBurst == aOther.mBurst &&
         aOne.mInTokens == aOther.mInTokens;
}

} // namespace

TokenHolders::TokenHolders(std::string aSelf, std::vector<std::string> aZones)
  : mSelf(std::move(aSelf))
{
  for (std::string& name : aZones) {
    Zone zone;
    zone.mName = std::move(name);
    mZones.push_back(std::move(zone));
  }
}

bool
TokenHolders::SetMembers(const std::string& aZone,
                         std::vector<std::string> aMembers)
{
  for (Zone& zone : mZones) {
    if (zone.mName == aZone && zone.mMembers != aMembers) {
      zone.mMembers = std::move(aMembers);
      ++zone.mVersion;
      return true;
    }
  }
  return false;
}

const std::vector<std::string>&
TokenHolders::Holders(Zone& aZone, const TenantLimit& aLimit)
{
  Ranked& ranked = aZone.mByTenant[aLimit.mName];
  if (ranked.mVersion != aZone.mVersion || !SameSplit(ranked.mLimit, aLimit)) {
    ranked.mHolders = HoldersOf(aLimit, mZones.size(), aZone.mMembers);
    std::sort(ranked.mHolders.begin(), ranked.mHolders.end());
    ranked.mLimit = aLimit;
    ranked.mVersion = aZone.mVersion;
    ++mRankings;
  }
  return ranked.mHolders;
}

double
TokenHolders::OwnPart(const TenantLimit& aLimit)
{
  if (mZones.empty()) {
    return 0;
  }
  const std::vector<std::string>& holders = Holders(mZones.front(), aLimit);
  if (!std::binary_search(holders.begin(), holders.end(), mSelf)) {
    return 0;
  }
  return 1.0 / static_cast<double>(mZones.size() * holders.size());
}

std::vector<std::string>
TokenHolders::Lenders(const TenantLimit& aLimit,
                      const std::function<bool(const std::string&)>& aAlive)
{
  std::vector<std::string> lenders;
  for (Zone& zone : mZones) {
    const std::vector<std::string>& holders = Holders(zone, aLimit);
    size_t first = static_cast<size_t>(
      std::upper_bound(holders.begin(), holders.end(), mSelf) -
      holders.begin());
    for (size_t i = 0; i < holders.size(); ++i) {
      const std::string& holder = holders[(first + i) % holders.size()];
      if (holder != mSelf && aAlive(holder)) {
        lenders.push_back(holder);
      }
    }
  }
  return lenders;
}

} // namespace caraway
