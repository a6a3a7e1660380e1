// FeedRelay.h: what an instance learns from others instead of from the store.
//
// Of each zone one instance reads the list of servers and tells the others what
// matters of it; see WatchStep. Told is also how old that is: since the store
// was known to have nothing newer, with the time on the way. All tell with
// their pulses which versions they have seen, so that one that is turned away,
// or whose connection died in silence, fetches what it lacks.
#ifndef caraway_entry_FeedRelay_h
#define caraway_entry_FeedRelay_h

#include <deque>
#include <string>

#include "decide/WatchStep.h"
#include "entry/ConfigFeed.h"
#include "entry/Peers.h"

namespace caraway {

class FeedRelay
{
public:
  FeedRelay(EntryState& aState,
            StoreClient& aStore,
            Peers& aPeers,
            ConfigFeed& aFeed);

  void Start();
  void FillHeartbeat(Json::Value& aHeartbeat) const;
  void ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat);

private:
  // A change that this instance, reading the store, took into its own list.
  struct RelayedChange
  {
    TimePoint mAt{};
    StoreChange mChange;
    size_t mBytes = 0; // of it as text
  };
  struct Checkpoint
  {
    TimePoint mAt{};
    int64_t mRevision = 0; // up to which the list was known then
  };

  std::string Rank() const;
  // To one that isn't burdened with the zone's orders.
  void HandOverReading();
  // Of those of the zone that stay, the first by rank; nobody: this instance.
  const Peer* FirstByRank() const;
  void OnFeedUpdate();
  void OnServerApplied(const StoreChange& aChange);
  void PublishUpdate();
  void Trim();
  // What the marks don't reach back to; returns its bytes.
  size_t DropBeforeFirstCheckpoint();
  Json::Value BuildUpdate();
  void OnPeerUpdate(const Json::Value& aUpdate);
  void ApplyUpdate(const Json::Value& aUpdate, Millis aTransit);
  void Check();
  void ResumeReading(const char* aWhy);
  void OnLeaving(const std::string& aPeer);
  void RequestConfig(int64_t aVersion, const std::string& aPeer);
  void FetchConfig();
  void FetchConfigFromStore();
  void FetchConfigFromPeer(const std::string& aPeer);
  void FetchServersFromPeer(const std::string& aPeer);

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  ConfigFeed& mFeed;
  WatchStep mStep;
  std::deque<RelayedChange> mRecentChanges;
  std::deque<Checkpoint> mCheckpoints;
  bool mPublishScheduled = false;
  TimePoint mNextHandOverAt{};
  TimePoint mResumeReadingAt =
    TimePoint::max();              // unless somebody tells by then
  std::string mFollowedPeer;       // followed, or last followed
  int64_t mWantedConfig = 0;       // a newer one that another has
  std::string mConfigPeer;         // that other
  bool mStoreFetchPending = false; // it is being asked of the store
  bool mPeerFetchPending = false;  // it is being asked of another instance
  bool mFetchFromPeerNext = false; // the next try is another instance's
  TimePoint mConfigReportedAt{};   // that it is there
  TimePoint mNextConfigFetchAt{};  // when it may be asked for
  TimePoint mNextServersFetchAt{};
};

} // namespace caraway

#endif
