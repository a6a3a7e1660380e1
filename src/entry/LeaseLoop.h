// LeaseLoop.h: acquires, renews and releases a lease in the object store;
// LeaseStep takes the decisions.
#ifndef caraway_entry_LeaseLoop_h
#define caraway_entry_LeaseLoop_h

#include <functional>
#include <json/json.h>
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

  // What a holder leaves to the next one in the lease object. mWrite is called
  // for each write; mRead with what the object has, before this process may
  // act.
  struct Handover
  {
    std::function<Json::Value()> mWrite;
    std::function<void(const Json::Value&)> mRead;
  };
  // Before Start().
  void SetHandover(Handover aHandover) { mHandover = std::move(aHandover); }

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
  // What the holder had to hand over before this time is in the store.
  TimePoint WrittenAt() const { return mWrittenAt; }
  // Writes a held lease at the next check. Returns false if the store isn't
  // reachable.
  bool RequestWrite();
  const std::string& Name() const { return mName; }

private:
  void Tick();
  void ObserveHolder(TimePoint aNow);
  void Read();
  void Write();
  void ReadHandover(const std::string& aBody);
  void LogChange();

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  std::string mName;
  LeaseStep mStep;
  Handover mHandover;
  TimePoint mWrittenAt{};
  Millis mYield;             // by this instance's share of a core
  std::string mLastClaimant; // last instance that claimed the lease
  TimePoint mRecheckAt{};    // next read if a live holder doesn't claim it
  bool mWanted = true;
  bool mLoggedHolds = false; // as last logged
};

} // namespace caraway

#endif
