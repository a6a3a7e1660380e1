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
  void OnNews(std::function<void()> aNews) { mOnNews = std::move(aNews); }
  void OnTaken(std::function<void(const StoreChange&)> aTaken)
  {
    mOnTaken = std::move(aTaken);
  }
  // What another instance took over: aWhole and aSeen are its ServersWhole()
  // and ServersRevision(), as it read them at aUpdateAt.
  void TakeTold(const std::vector<StoreChange>& aChanges,
                int64_t aWhole,
                int64_t aSeen,
                TimePoint aUpdateAt);
  // aVersion was the newest configuration at aUpdateAt, as another read it.
  void TakeToldConfig(int64_t aVersion, TimePoint aUpdateAt);
  // One read of the configuration; aDone: it came, or it didn't.
  void ReadConfig(std::function<void()> aDone);

  // The configuration as the store keeps it, for instances that can't reach
  // it; null value while there is none.
  const std::string& ConfigText() const { return mConfigText; }
  void TakeConfigText(const std::string& aText, const std::string& aFrom);

  // The same for the list of servers: entries by id.
  Json::Value ServersText() const;
  // aRevision: the other's ServersRevision(); what this instance has seen
  // later stays.
  void TakeServersText(const Json::Value& aEntries,
                       int64_t aRevision,
                       const std::string& aFrom);
  // Store's revision of the newest change to the list that was seen.
  int64_t ServersRevision() const { return mServersRevision; }
  // Store's revision up to which every change to the list was taken over,
  // removals included, which leave no entry to tell of them.
  int64_t ServersWhole() const;

  // Another instance has seen aRevision of the list.
  void OnPeerServers(int64_t aRevision);
  bool Fresh() const;
  // When the list of servers was last heard of, by whatever way.
  TimePoint ListNews() const;
  // The same for the configuration: when the one in force was the newest.
  TimePoint ConfigNews() const;

private:
  struct Raw
  {
    int64_t mRevision = 0;
    std::string mSpec;
  };
  struct Gone
  {
    int64_t mRevision = 0; // its last
    TimePoint mAt{};
  };
  void NoteGone(const std::string& aId, int64_t aRevision);
  void OnConfig(const StoreObject& aObject);
  void OnServers(const std::vector<StoreChange>& aAll, int64_t aAsOf);
  void OnServer(const StoreChange& aChange);
  bool TakeServer(const StoreObject& aObject);
  void LogListed(const StoreObject& aObject, const BackendEntry& aEntry);
  void RemoveServer(const std::string& aId);
  void RemoveLater(const std::string& aId);

  EntryState& mState;
  StoreClient& mStore;
  std::function<void()> mChanged;
  StoreFeed mConfigObjects;
  StoreFeed mServerObjects;
  std::string mConfigText;
  std::map<std::string, Raw> mServers;
  std::map<std::string, Gone> mGone;         // servers, lately
  std::map<std::string, TimePoint> mMissing; // since when, after an outage
  int64_t mServersRevision = 0;
  std::function<void()> mOnNews = [] {};
  std::function<void(const StoreChange&)> mOnTaken = [](const StoreChange&) {};
  int64_t mToldWhole = 0; // as ServersWhole(), by what another instance told
  TimePoint mToldNews{};  // of what another instance told
  TimePoint mToldConfigNews{};
  bool mPaused = false;
};

} // namespace caraway

#endif
