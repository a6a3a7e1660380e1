// Membership.h: this instance's entry in the store's list of instances, the
// others' entries, and who of the zone counts whom.
#ifndef caraway_entry_Membership_h
#define caraway_entry_Membership_h

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/ZoneMembers.h"
#include "entry/EntryState.h"
#include "entry/Peers.h"
#include "store/StoreClient.h"

namespace caraway {

class Membership
{
public:
  Membership(EntryState& aState, StoreClient& aStore, Peers& aPeers);

  void Start();
  // Tells the zone that this instance spends nothing from now on.
  void Leave();
  // The zone isn't told yet.
  bool RemovingEntry() const { return mRemovingEntry; }
  // Called when MaySpend() or CountedMembers() may be different.
  void OnChange(std::function<void()> aChange)
  {
    mOnChange = std::move(aChange);
  }
  // Called with how many entries each zone has, as a fresh list showed it.
  using ZoneCounts =
    std::function<void(const std::map<std::string, int>&, TimePoint aAskedAt)>;
  void OnZoneCounts(ZoneCounts aCensus) { mOnCensus = std::move(aCensus); }
  // A fresh list is wanted.
  void RequestFreshList() { mFreshListDue = true; }

  // This instance may spend its part of tenants' limits.
  bool MaySpend() const { return mZone.MaySpend(mState.Now()); }
  // The instances of this zone that are counted, this one included.
  std::vector<std::string> CountedMembers() const { return mZone.All(); }

private:
  StoreObject Entry(bool aCounted) const;
  void Join();
  void Write(int64_t aRevision, bool aCounted);
  void RecordCounted();
  void List();
  void OnList(const StorePage& aPage, bool aFresh, TimePoint aAskedAt);
  void DropSilentPeers(const std::set<std::string>& aListed);
  void OnCountMe(const Json::Value& aParams);
  void RequestConfirmations();
  void Forget();
  void ReportChange();
  void Look();
  void FillHeartbeat(Json::Value& aHeartbeat) const;
  void ReadHeartbeat(const std::string& aZonePeer,
                     const Json::Value& aHeartbeat);

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  ZoneMembers mZone;
  std::function<void()> mOnChange = [] {};
  ZoneCounts mOnCensus = [](const auto&, TimePoint) {};
  Millis mListWait;
  uint64_t mListRound = 0;
  bool mListing = false;
  bool mFreshListDue = false; // a fresh list is due
  TimePoint mListedAt{};
  int64_t mRevision = 0;                       // of this instance's entry
  std::map<std::string, StoreObject> mEntries; // of the zone, as listed
  std::set<std::string> mAsking;               // mates, to be counted
  bool mJoining = false;                       // a write of the entry is due
  bool mRemovingEntry = false;                 // its entry is being removed
  bool mRecordedCounted = false;               // by the entry
  bool mForgetting = false;
  bool mTold = false; // what the last log line said
};

} // namespace caraway

#endif
