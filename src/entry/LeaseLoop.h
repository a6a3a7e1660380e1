// LeaseLoop.h: acquires, renews and releases a lease in the object store;
// LeaseStep takes the decisions.
#ifndef caraway_entry_LeaseLoop_h
#define caraway_entry_LeaseLoop_h

#include <functional>
#include <string>

#include "decide/LeaseStep.h"
#include "entry/EntryState.h"
#include "entry/Peers.h"
#include "store/StoreClient.h"

namespace caraway {

// Name of the lease whose holder sends orders to the servers of aZone.
std::string
ZoneLeaseName(const std::string& aZone);

class LeaseLoop
{
public:
  // aSilence: see LeaseTimes::mSilence.
  LeaseLoop(EntryState& aState,
            StoreClient& aStore,
            Peers& aPeers,
            std::string aName,
            Millis aSilence);

  void Start();
  void Release() { SetWanted(false); }
  // While it is not wanted, the lease is released and not acquired again.
  // Initially it is wanted.
  void SetWanted(bool aWanted);
  // Additional time for which a free lease is left to other candidates.
  void SetRankYield(Millis aYield);

  bool Holds() const { return mStep.Holds(mState.Now()); }
  bool MayAct() const { return mStep.MayAct(mState.Now()); }
  int64_t Token() const { return mStep.Token(); }
  const std::string& Name() const { return mName; }

private:
  void Tick();
  void ObserveHolder(TimePoint aNow);
  void Read();
  void Write();
  void LogChange();

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  std::string mName;
  LeaseStep mStep;
  Millis mYield;             // by this instance's share of a core
  std::string mLastClaimant; // last instance that claimed the lease
  TimePoint mRecheckAt{};    // next read if a live holder doesn't claim it
  bool mWanted = true;
  bool mLoggedHolds = false; // as last logged
};

} // namespace caraway

#endif
