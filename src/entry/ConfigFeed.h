// ConfigFeed.h: keeps the instance's configuration and list of servers up to
// date from the object store, or from another instance that knows more.
#ifndef caraway_entry_ConfigFeed_h
#define caraway_entry_ConfigFeed_h

#include <functional>
#include <map>
#include <string>

#include "entry/EntryState.h"
#include "store/StoreFeed.h"

namespace caraway {

class ConfigFeed
{
public:
  // aChanged: something that requests depend on is different now.
  ConfigFeed(EntryState& aState,
             StoreClient& aStore,
             std::function<void()> aChanged);

  void Start();
  // While another instance tells what changes, nothing is asked of the store.
  void Pause();
  void Resume();
  bool Paused() const { return mPaused; }
  // Called after each answer of the store, and for each change to the list
  // that matters to requests, when it is taken over.
  void OnUpdate(std::function<void()> aOnUpdate)
  {
    mOnUpdate = std::move(aOnUpdate);
  }
  void OnServerApplied(std::function<void(const StoreChange&)> aOnApplied)
  {
    mOnApplied = std::move(aOnApplied);
  }
  // What another instance took over: aWhole and aSeen are its
  // ServersCompleteTo() and ServersRevision(), as it read them at aUpdateAt.
  void ApplyPeerUpdate(const std::vector<StoreChange>& aChanges,
                       int64_t aCompleteTo,
                       int64_t aSeen,
                       TimePoint aUpdateAt);
  // aVersion was the newest configuration at aUpdateAt, as another read it.
  void ConfirmConfigFromPeer(int64_t aVersion, TimePoint aUpdateAt);
  // One read of the configuration; aDone: it came, or it didn't.
  void ReadConfig(std::function<void()> aDone);

  // The configuration as the store keeps it, for instances that can't reach
  // it; null value while there is none.
  const std::string& ConfigText() const { return mConfigText; }
  void ApplyConfigText(const std::string& aText, const std::string& aFrom);

  // The same for the list of servers: entries by id.
  Json::Value ServersJson() const;
  // aRevision: the other's ServersRevision(); what this instance has seen
  // later stays.
  void ApplyServersJson(const Json::Value& aEntries,
                        int64_t aRevision,
                        const std::string& aFrom);
  // Store's revision of the newest change to the list that was seen.
  int64_t ServersRevision() const { return mServersRevision; }
  // Store's revision up to which every change to the list was taken over,
  // removals included, which leave no entry to tell of them.
  int64_t ServersCompleteTo() const;

  // Another instance has seen aRevision of the list.
  void OnPeerRevision(int64_t aRevision);
  bool Fresh() const;
  // When the list of servers was last heard of, by whatever way.
  TimePoint ListConfirmedAt() const;
  // The same for the configuration: when the one in force was the newest.
  TimePoint ConfigConfirmedAt() const;

private:
  struct StoredEntry
  {
    int64_t mRevision = 0;
    std::string mSpec;
  };
  struct Removal
  {
    int64_t mRevision = 0; // its last
    TimePoint mAt{};
  };
  void RecordRemoval(const std::string& aId, int64_t aRevision);
  void OnConfig(const StoreObject& aObject);
  void OnServers(const std::vector<StoreChange>& aAll, int64_t aAsOf);
  void OnServer(const StoreChange& aChange);
  bool ApplyServer(const StoreObject& aObject);
  void LogListed(const StoreObject& aObject, const BackendEntry& aEntry);
  void RemoveServer(const std::string& aId);
  void RemoveAfterGrace(const std::string& aId);

  EntryState& mState;
  StoreClient& mStore;
  std::function<void()> mChanged;
  StoreFeed mConfigObjects;
  StoreFeed mServerObjects;
  std::string mConfigText;
  std::map<std::string, StoredEntry> mServers;
  std::map<std::string, Removal> mRemovals;       // servers, lately
  std::map<std::string, TimePoint> mMissingSince; // since when, after an outage
  int64_t mServersRevision = 0;
  std::function<void()> mOnUpdate = [] {};
  std::function<void(const StoreChange&)> mOnApplied = [](const StoreChange&) {
  };
  int64_t mPeerCompleteTo =
    0; // as ServersCompleteTo(), by what another instance told
  TimePoint mPeerConfirmedAt{}; // of what another instance told
  TimePoint mPeerConfigConfirmedAt{};
  bool mPaused = false;
};

} // namespace caraway

#endif
