#include "decide/ServingConfig.h"

namespace caraway {

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

} // namespace caraway
