// TokenDesk.h: lets tenants' requests in by their tokens; keeps the zone's part
// of the common half while this instance holds the zone's lease.
#ifndef caraway_entry_TokenDesk_h
#define caraway_entry_TokenDesk_h

#include "decide/TenantTokens.h"
#include "entry/LeaseLoop.h"
#include "entry/Peers.h"
#include "entry/TokenAsker.h"

#include <string>
#include <vector>

namespace caraway {

class TokenDesk : public TokenAsker
{
public:
  TokenDesk(EntryState& aState, Peers& aPeers, LeaseLoop& aLease);

  void Start();

  void Ask(const TokenRequest& aRequest, Done aDone) override;
  void GiveBack(const TokenGrant& aGrant) override;

private:
  struct Loan
  {
    bool mGranted = false;
    Millis mAfter{ 0 };
  };
  void Prepare();
  void GiveSpare();
  void TakeSpare(const std::string& aTenant, double aTokens);
  void BeginKeeping();
  Loan Lend(const TokenRequest& aRequest);
  void TakeBack(const TokenGrant& aGrant);
  TokenGrant GrantOf(const TokenRequest& aRequest,
                     const std::string& aKeeper) const;
  // The zones to be asked, this instance's first.
  std::vector<std::string> Zones() const;
  void AskKeepers(const TokenRequest& aRequest,
                  const std::vector<std::string>& aZones,
                  Millis aAfter,
                  Done aDone);
  void AskPeer(const TokenRequest& aRequest,
               const std::string& aKeeper,
               std::function<void(const Loan&)> aDone);
  double ZoneShare(const TenantLimit& aLimit) const;
  bool LendsBeyond() const;
  void AskUntil(const TokenRequest& aRequest, TimePoint aUntil, Done aDone);
  void AskOnce(const TokenRequest& aRequest, Done aDone);

  EntryState& mState;
  Peers& mPeers;
  LeaseLoop& mLease;      // of this instance's zone
  TenantBuckets mEven;    // this instance's parts
  TenantBuckets mKept;    // the common part, while the lease is held
  int64_t mKeptToken = 0; // lease under which mKept was begun
};

} // namespace caraway

#endif
