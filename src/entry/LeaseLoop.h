// LeaseLoop.h: runs a lease's decisions against the object store.
#ifndef caraway_entry_LeaseLoop_h
#define caraway_entry_LeaseLoop_h

#include <functional>
#include <string>

#include "decide/LeaseStep.h"
#include "entry/EntryState.h"
#include "entry/Peers.h"
#include "store/StoreClient.h"

namespace caraway {

// Its holder gives the orders of aZone's servers.
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
  // While not wanted, it is given up and left alone. Wanted at the start.
  void SetWanted(bool aWanted);
  // A free lease is left to others for so much longer than to any candidate.
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
  void ReportChange();

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  std::string mName;
  LeaseStep mStep;
  Millis mYield;             // by this instance's part of a core
  std::string mLastClaimant; // the last that said it holds the lease
  TimePoint mRecheckAt{};    // at a lease whose holder lives and claims nothing
  bool mWanted = true;
  bool mTold = false; // what the last log line said
};

} // namespace caraway

#endif
