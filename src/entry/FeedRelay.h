// FeedRelay.h: passes configuration and server changes between instances.
//
// One instance of each zone reads the list of servers from the store and sends
// the changes that matter to the others; see WatchStep. Each update also says
// how long ago the store was known to have nothing newer; the receiver adds the
// transit time. Every heartbeat carries the versions that its sender has seen,
// so that an instance that the store rejects, or whose connection to it died
// silently, can fetch what it lacks from a peer.
#ifndef caraway_entry_FeedRelay_h
#define caraway_entry_FeedRelay_h

#include <deque>
#include <string>

#include "decide/WatchStep.h"
#include "entry/ConfigFeed.h"
#include "entry/EvacuationFeed.h"
#include "entry/Peers.h"

namespace caraway {

class FeedRelay
{
public:
  FeedRelay(EntryState& aState,
            StoreClient& aStore,
            Peers& aPeers,
            ConfigFeed& aFeed,
            EvacuationFeed& aEvacuations);

  void Start();
  void FillHeartbeat(Json::Value& aHeartbeat) const;
  void ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat);
  void OnPeerConfig(const std::string& aPeer, const PeerConfig& aConfig);

private:
  // A change that this instance read from the store and applied.
  struct RelayedChange
  {
    TimePoint mAt{};
    StoreChange mChange;
    size_t mBytes = 0; // size of the object as text
  };
  struct Checkpoint
  {
    TimePoint mAt{};
    int64_t mRevision = 0; // up to which the list was complete then
  };

  std::string Rank() const;
  // Asks the first peer by rank to read the store, if this instance leads the
  // zone: the leader already sends the zone's orders.
  void HandOverReading();
  // The first by rank among the zone's instances that are not leaving; null if
  // it is this instance.
  const Peer* FirstByRank() const;
  void OnFeedUpdate();
  void OnServerApplied(const StoreChange& aChange);
  void PublishUpdate();
  void Trim();
  // Drops changes older than the first checkpoint and returns their bytes.
  size_t DropBeforeFirstCheckpoint();
  Json::Value BuildUpdate();
  void OnPeerUpdate(const Json::Value& aUpdate);
  void ApplyUpdate(const Json::Value& aUpdate, Millis aTransit);
  void Check();
  void ResumeReading(
    const char* aWhy,
    StoreFeed::FirstWatch aFirst = StoreFeed::FirstWatch::AfterBatch);
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
  EvacuationFeed& mEvacuations;
  WatchStep mStep;
  std::deque<RelayedChange> mRecentChanges;
  std::deque<Checkpoint> mCheckpoints;
  bool mPublishScheduled = false;
  TimePoint mNextHandOverAt{};
  // Reading the store is resumed then unless an update arrives before.
  TimePoint mResumeReadingAt = TimePoint::max();
  std::string mFollowedPeer; // the reader that is or was last followed
  int64_t mWantedConfig = 0; // newest version that a peer has
  std::string mConfigPeer;   // the peer that has it
  bool mStoreFetchPending = false;
  bool mPeerFetchPending = false;
  bool mFetchFromPeerNext = false;
  TimePoint mConfigReportedAt{}; // when a peer last reported it
  TimePoint mNextConfigFetchAt{};
  TimePoint mStartedAt{};
  TimePoint mNextServersFetchAt{};
};

} // namespace caraway

#endif
