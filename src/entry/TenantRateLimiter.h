// TenantRateLimiter.h: admits requests by their tenant's tokens, and lends
// tokens to other instances. TenantTokenBucket takes the decisions.
#ifndef caraway_entry_TenantRateLimiter_h
#define caraway_entry_TenantRateLimiter_h

#include <map>
#include <string>
#include <vector>

#include "decide/TenantTokenBucket.h"
#include "decide/TokenHolders.h"
#include "entry/Membership.h"
#include "entry/Peers.h"
#include "entry/RateLimiter.h"

namespace caraway {

class TenantRateLimiter : public RateLimiter
{
public:
  TenantRateLimiter(EntryState& aState, Peers& aPeers, Membership& aMembers);

  void Start();
  // Hands the remaining tokens to a zone peer. Called before the zone is
  // notified that this instance leaves.
  void Leave();

  void Ask(const TokenRequest& aRequest, Done aDone) override;
  void Refund(const TokenGrant& aGrant) override;

private:
  struct Waiter
  {
    TokenRequest mRequest;
    Done mDone;
  };
  struct Tenant
  {
    TenantTokenBucket mTokenBucket;
    TimePoint mTimerAt{}; // of the pending timer
  };
  void Refresh();
  void UpdateHolders();
  void Step(const std::string& aTenant);
  void ArmTimer(const std::string& aTenant, TimePoint aAt);
  void Call(const std::string& aTenant, const TokenLoanCall& aCall);
  void OnGranted(const std::string& aTenant, const TokenPaid& aPaid);
  void OnRefused(const TokenRefused& aRefused);
  Json::Value OnLend(const Json::Value& aParams);
  void OnReturnedTokens(const Json::Value& aParams);
  void OnSpareTokens(const Json::Value& aMessage);

  EntryState& mState;
  Peers& mPeers;
  Membership& mMembers;
  TokenHolders mHolders;
  std::map<std::string, Tenant> mTenants;
  ServingConfigPtr mSplitConfig; // that the parts are computed from
  bool mSplitMaySpend = false;
  uint64_t mPeerListVersion = 0; // that mHolders knows
  std::map<uint64_t, Waiter> mWaiters;
  uint64_t mNextId = 0;
};

} // namespace caraway

#endif
