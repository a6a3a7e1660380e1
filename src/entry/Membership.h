// Membership.h: this instance's entry in the store's list of instances, the
// entries of the others, and which instances of the zone count each other.
#ifndef caraway_entry_Membership_h
#define caraway_entry_Membership_h

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/ListSchedule.h"
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
  // Removes the entry and then notifies the zone that this instance has stopped
  // spending tokens.
  void Leave();
  // The entry is being removed; the zone has not been notified yet.
  bool RemovingEntry() const { return mRemovingEntry; }
  // Called when MaySpend() or CountedMembers() may have changed.
  void OnChange(std::function<void()> aChange)
  {
    mOnChange = std::move(aChange);
  }
  // Called with the number of entries of each zone after each fresh list.
  using ZoneCounts = std::function<void(const std::map<std::string, int>&,
                                        TimePoint aRequestedAt)>;
  void OnZoneCounts(ZoneCounts aOnZoneCounts)
  {
    mOnZoneCounts = std::move(aOnZoneCounts);
  }
  // Registers callbacks that add to this instance's entry, and that read each
  // instance's entry whenever it is listed, the own one of a former process
  // included.
  using EntryFill = std::function<void(Json::Value& aSpec)>;
  using EntryRead =
    std::function<void(const std::string& aName, const Json::Value& aSpec)>;
  void OnEntry(EntryFill aFill, EntryRead aRead)
  {
    mFillEntry = std::move(aFill);
    mReadEntry = std::move(aRead);
  }
  // What the callback adds has changed: the entry is written again soon.
  void RewriteEntry() { mEntryOutdated = true; }
  // Makes the next list of entries a fresh one, and reads it soon.
  void RequestFreshList() { mFreshListDue = true; }

  // This instance may spend its part of the tenants' rate limits.
  bool MaySpend() const { return mZoneMembers.MaySpend(mState.Now()); }
  // The instances of this zone among which the limits are divided, including
  // this one.
  std::vector<std::string> CountedMembers() const { return mZoneMembers.All(); }

private:
  StoreObject Entry(bool aCounted) const;
  void Join();
  void Write(int64_t aRevision, bool aCounted);
  void UpdateEntry();
  void Rewrite(bool aCounted);
  void List();
  void OnList(const StorePage& aPage, bool aFresh, TimePoint aRequestedAt);
  void DropSilentPeers(const std::set<std::string>& aListed);
  void OnCountMe(const Json::Value& aParams);
  void RequestConfirmations();
  void ForgetSilentPeer();
  void LogChange();
  void UpdateColdLimit();
  void Check();
  void FillHeartbeat(Json::Value& aHeartbeat) const;
  void ReadHeartbeat(const std::string& aZonePeer,
                     const Json::Value& aHeartbeat);

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  ZoneMembers mZoneMembers;
  std::function<void()> mOnChange = [] {};
  ZoneCounts mOnZoneCounts = [](const auto&, TimePoint) {};
  EntryFill mFillEntry = [](Json::Value&) {};
  EntryRead mReadEntry = [](const std::string&, const Json::Value&) {};
  ListSchedule mListSchedule;
  uint64_t mListRound = 0;
  bool mListing = false;
  bool mFreshListDue = false;
  TimePoint mListedAt{};
  int64_t mRevision = 0;                       // of this instance's entry
  std::map<std::string, StoreObject> mEntries; // of the zone, as listed
  std::set<std::string> mConfirming; // peers called to count this instance
  bool mJoining = false;             // a write of the entry is in progress
  bool mRemovingEntry = false;
  bool mRecordedCounted = false; // the entry says that this one is counted
  bool mEntryOutdated = false;   // see RewriteEntry()
  bool mForgetting = false;
  bool mReportedMaySpend = false; // as last logged
};

} // namespace caraway

#endif
