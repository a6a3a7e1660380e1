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
  struct Told
  {
    TimePoint mAt{};
    StoreChange mChange;
    size_t mBytes = 0; // of it as text
  };
  struct Mark
  {
    TimePoint mAt{};
    int64_t mRevision = 0; // up to which the list was known then
  };

  std::string Rank() const;
  // To one that isn't burdened with the zone's orders.
  void HandOver();
  // Of those of the zone that stay, the first by rank; nobody: this instance.
  const Peer* First() const;
  void OnNews();
  void OnTaken(const StoreChange& aChange);
  void Tell();
  void Trim();
  // What the marks don't reach back to; returns its bytes.
  size_t DropBeforeFirstMark();
  Json::Value News();
  void OnTold(const Json::Value& aNews);
  void TakeNews(const Json::Value& aNews, Millis aOnTheWay);
  void Check();
  void ReadAgain(const char* aWhy);
  void OnLeaving(const std::string& aPeer);
  void WantConfig(int64_t aVersion, const std::string& aPeer);
  void AskForConfig();
  void StoreConfig();
  void RelayConfig(const std::string& aPeer);
  void RelayServers(const std::string& aPeer);

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  ConfigFeed& mFeed;
  WatchStep mStep;
  std::deque<Told> mLately;
  std::deque<Mark> mMarks;
  bool mTellDue = false;
  TimePoint mHandOverNext{};
  TimePoint mReadAt = TimePoint::max(); // unless somebody tells by then
  std::string mTeller;                  // followed, or last followed
  int64_t mConfigWanted = 0;            // a newer one that another has
  std::string mConfigAt;                // that other
  bool mStoreConfig = false;            // it is being asked of the store
  bool mRelayConfig = false;            // it is being asked of another instance
  bool mConfigTurn = false;             // the next try is another instance's
  TimePoint mConfigHeard{};             // that it is there
  TimePoint mConfigNext{};              // when it may be asked for
  TimePoint mServersNext{};
};

} // namespace caraway

#endif
