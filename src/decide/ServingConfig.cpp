#include "decide/ServingConfig.h"

#include <algorithm>

namespace caraway {

void
CallerLimits::Widen(const CallerLimits& aOther)
{
  mHeadBytes = std::max(mHeadBytes, aOther.mHeadBytes);
  mBodyBytes = std::max(mBodyBytes, aOther.mBodyBytes);
  mHeadTime = std::max(mHeadTime, aOther.mHeadTime);
  mIdle = std::max(mIdle, aOther.mIdle);
}

const RouteSpec*
ServingConfig::Match(const std::string& aHost, const std::string& aPath) const
{
  const RouteSpec* best = nullptr;
  for (const RouteSpec& route : mRoutes) {
    if (route.mHost != aHost || aPath.rfind(route.mPrefix, 0) != 0) {
      continue;
    }
    if (!best || route.mPrefix.size() > best->mPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

const TenantLimit*
ServingConfig::Tenant(const std::string& aName) const
{
  auto found = mTenants.find(aName);
  return found == mTenants.end() ? nullptr : &found->second;
}

const EngineSpec*
ServingConfig::EngineOf(const std::string& aService) const
{
  auto found = mServices.find(aService);
  bool engine = found != mServices.end() && found->second.mEngine;
  return engine ? &*found->second.mEngine : nullptr;
}

int
ServingConfig::LeastUrgent() const
{
  int least = 0;
  for (const RouteSpec& route : mRoutes) {
    least = std::max(least, route.mPriority);
  }
  return least;
}

} // namespace caraway
