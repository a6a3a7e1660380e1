#include "decide/LeaseClaims.h"

namespace caraway {

void
LeaseClaims::OnHeartbeat(const std::string& aInstance,
                         const std::set<std::string>& aLeases,
                         TimePoint aNow)
{
  for (auto at = mClaims.begin(); at != mClaims.end();) {
    bool dropped =
      at->second.mInstance == aInstance && aLeases.count(at->first) == 0;
    at = dropped ? mClaims.erase(at) : std::next(at);
  }
  for (const std::string& lease : aLeases) {
    OnClaim(aInstance, lease, aNow);
  }
}

void
LeaseClaims::OnClaim(const std::string& aInstance,
                     const std::string& aLease,
                     TimePoint aNow)
{
  mClaims[aLease] = { aInstance, aNow };
}

void
LeaseClaims::Forget(const std::string& aInstance)
{
  OnHeartbeat(aInstance, {}, TimePoint());
}

std::string
LeaseClaims::HolderOf(const std::string& aLease,
                      Millis aLife,
                      TimePoint aNow) const
{
  auto found = mClaims.find(aLease);
  bool lapsed = found == mClaims.end() || aNow - found->second.mAt >= aLife;
  return lapsed ? "" : found->second.mInstance;
}

} // namespace caraway
