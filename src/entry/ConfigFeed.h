// ConfigFeed.h: keeps the instance's configuration and list of servers up to
// date, from the object store or from another instance.
#ifndef caraway_entry_ConfigFeed_h
#define caraway_entry_ConfigFeed_h

#include <functional>
#include <map>
#include <string>

#include "entry/EntryState.h"
#include "store/StoreFeed.h"

namespace caraway {

// What another instance says of its configuration.
struct PeerConfig
{
  int64_t mVersion = 0;
  TimePoint mNewestAt{}; // the store had nothing newer then
  TimePoint mSentAt{};   // when it said so
};

class ConfigFeed
{
public:
  // aChanged is called when something that requests depend on has changed.
  ConfigFeed(EntryState& aState,
             StoreClient& aStore,
             std::function<void()> aChanged);

  void Start();
  // While paused, changes come from another instance and no calls to the store
  // are made.
  void Pause();
  void Resume(StoreFeed::FirstWatch aFirst);
  bool Paused() const { return mPaused; }
  // aOnUpdate is called after each answer of the store and for each new
  // configuration. aOnApplied is called for each applied change to the list
  // that matters to requests.
  void OnUpdate(std::function<void()> aOnUpdate)
  {
    mOnUpdate = std::move(aOnUpdate);
  }
  void OnServerApplied(std::function<void(const StoreChange&)> aOnApplied)
  {
    mOnApplied = std::move(aOnApplied);
  }
  // Applies changes that another instance has read and applied. aCompleteTo and
  // aSeen are its ServersCompleteTo() and ServersRevision() as of aUpdateAt.
  void ApplyPeerUpdate(const std::vector<StoreChange>& aChanges,
                       int64_t aCompleteTo,
                       int64_t aSeen,
                       TimePoint aUpdateAt);
  // Counts once that version is in force here.
  void ConfirmConfigFromPeer(const PeerConfig& aPeerConfig);
  // Reads the configuration once. aDone is called in any case.
  void ReadConfig(std::function<void()> aDone);
  // Reads the entry of one server. aDone is called in any case, at once while
  // the store doesn't serve this instance.
  void ReadServer(const std::string& aId, std::function<void()> aDone);
  // The feed's own list of configurations is on its way.
  bool ListingConfig() const { return mConfigObjects.Listing(); }
  // Reads the complete list of servers again.
  void RefreshServers(const char* aWhy) { mServerObjects.Refresh(aWhy); }

  // The configuration as stored, for instances that can't reach the store;
  // empty while there is none.
  const std::string& ConfigText() const { return mConfigText; }
  void ApplyConfigText(const std::string& aText, const std::string& aFrom);

  // The list of servers as stored, by id.
  Json::Value ServersJson() const;
  // aRevision is the sender's ServersRevision(). Entries that this instance has
  // seen at a later revision are kept.
  void ApplyServersJson(const Json::Value& aEntries,
                        int64_t aRevision,
                        const std::string& aFrom);
  // Store revision of the newest change to the list that was seen.
  int64_t ServersRevision() const { return mServersRevision; }
  // Store revision up to which every change to the list has been applied,
  // including removals, which leave no entry behind.
  int64_t ServersCompleteTo() const;

  // Another instance has seen the list at aRevision.
  void OnPeerRevision(int64_t aRevision);
  bool Fresh() const;
  // When the list of servers was last known to be current, from any source.
  TimePoint ListConfirmedAt() const;
  // When the configuration in force was last known to be the newest.
  TimePoint ConfigConfirmedAt() const;

private:
  struct StoredEntry
  {
    int64_t mRevision = 0;
    std::string mSpec;
  };
  struct Removal
  {
    int64_t mRevision = 0; // last known
    TimePoint mAt{};
  };
  void RecordRemoval(const std::string& aId, int64_t aRevision);
  void OnConfig(const StoreObject& aObject);
  void ApplyPeerConfig(const PeerConfig& aPeerConfig);
  void OnServers(const std::vector<StoreChange>& aAll, int64_t aAsOf);
  void OnServer(const StoreChange& aChange);
  bool ApplyServer(const StoreObject& aObject);
  Millis RunningFor(const BackendEntry& aEntry) const;
  bool LengthensCold(const Backend& aKnown, const BackendEntry& aEntry) const;
  void LogListed(const StoreObject& aObject, const BackendEntry& aEntry);
  void SetEntryRead(const std::string& aId, TimePoint aAt);
  void RemoveServer(const std::string& aId);
  void RemoveAfterGrace(const std::string& aId);

  EntryState& mState;
  StoreClient& mStore;
  std::function<void()> mChanged;
  StoreFeed mConfigObjects;
  StoreFeed mServerObjects;
  std::string mConfigText;
  std::map<std::string, StoredEntry> mServers;
  std::map<std::string, Removal> mRemovals; // recently removed servers
  // Entries that were missing after an outage of the store.
  std::map<std::string, TimePoint> mMissingSince;
  int64_t mServersRevision = 0;
  std::function<void()> mOnUpdate = [] {};
  std::function<void(const StoreChange&)> mOnApplied = [](const StoreChange&) {
  };
  int64_t mPeerCompleteTo = 0; // ServersCompleteTo() of another instance
  // The newest by another instance's word, newer than the one in force.
  PeerConfig mPeerConfig;
  bool mPaused = false;
};

} // namespace caraway

#endif
