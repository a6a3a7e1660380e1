// TokenDesk.h: lets tenants' requests in by their tokens; keeps the common
// bucket while this instance holds its lease.
#ifndef caraway_entry_TokenDesk_h
#define caraway_entry_TokenDesk_h

#include "decide/TenantTokens.h"
#include "entry/LeaseLoop.h"
#include "entry/Peers.h"
#include "entry/TokenAsker.h"

namespace caraway {

class TokenDesk : public TokenAsker
{
public:
  TokenDesk(EntryState& aState, StoreClient& aStore, Peers& aPeers);

  void Start();
  void Release() { mLease.Release(); }
  const LeaseLoop& Lease() const { return mLease; }

  void Ask(const TokenRequest& aRequest, Done aDone) override;

private:
  struct Loan
  {
    bool mGranted = false;
    Millis mAfter{ 0 };
  };
  void Prepare();
  void BeginKeeping();
  Loan Lend(const TokenRequest& aRequest);
  void AskKeeper(const TokenRequest& aRequest, Done aDone);
  void AskUntil(const TokenRequest& aRequest, TimePoint aUntil, Done aDone);
  void AskOnce(const TokenRequest& aRequest, Done aDone);
  void Tell(const TokenRequest& aRequest,
            const std::string& aBy,
            const Loan& aLoan,
            const Done& aDone);

  EntryState& mState;
  Peers& mPeers;
  LeaseLoop mLease;
  TenantBuckets mEven;    // this instance's parts
  TenantBuckets mKept;    // the common part, while the lease is held
  int64_t mKeptToken = 0; // lease under which mKept was begun
};

} // namespace caraway

#endif
