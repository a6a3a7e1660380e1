// LoadScheduler.h: loads models and adapters on the servers of one zone.
//
// Only the holder of the zone's lease sends orders to the zone's servers, one
// at a time to each server. Each order carries the number of orders that the
// server is assumed to have accepted before it, so an order that is carried out
// late, after others, has no effect. Every instance sends its load requests to
// the lease holder; see ZoneSchedulers.
#ifndef caraway_load_LoadScheduler_h
#define caraway_load_LoadScheduler_h

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "decide/LoadClaims.h"
#include "decide/LoadPriority.h"
#include "decide/ModelOrder.h"
#include "decide/PlacementPlan.h"
#include "decide/QueuedLoad.h"
#include "decide/StoreLoadTracker.h"
#include "decide/WorkPacer.h"
#include "entry/LeaseLoop.h"
#include "entry/Peers.h"
#include "entry/ServerInventories.h"
#include "load/LoadRequester.h"

namespace caraway {

class LoadScheduler
{
public:
  // Sends a message to the lease holders of the other zones.
  using Notify =
    std::function<void(const char* aKind, const Json::Value& aMessage)>;

  // aLease: the lease of aZone. aChanged: called when the known content of a
  // server has changed.
  LoadScheduler(EntryState& aState,
                Peers& aPeers,
                LeaseLoop& aLease,
                std::string aZone,
                Notify aNotify,
                std::function<void()> aChanged);

  void Start();
  // Called when the list of servers or the configuration has changed.
  void OnChanged();

  const std::string& Zone() const { return mZone; }
  // This instance holds the zone's lease.
  bool Holds() const { return mLease.Holds(); }
  size_t Loads() const { return mJobs.size(); }
  size_t Waiting() const { return mQueue.size(); }
  // Loads that callers have been asking for longer than QueuedLoad::kMaxQueued
  // without their having begun.
  size_t Overdue() const;
  // Models that urgent callers of the zone get from other zones only, as of the
  // last check; 0 on an instance that doesn't hold the lease.
  size_t MissingInZone() const { return Holds() ? mMissingInZone : 0; }

  // Queues a load request of any instance. The result's "expected_ms" is the
  // time until the model or adapter is expected to be loaded, if it is known.
  Json::Value OnLoadRequest(const LoadRequest& aRequest);
  // Messages from the lease holder of another zone.
  void OnClaim(const Json::Value& aMessage);
  void OnStoreLoad(const Json::Value& aMessage);
  // A message from the lease holder of this zone about one of its servers.
  void OnContent(const Json::Value& aMessage)
  {
    mInventories.OnContent(aMessage);
  }

private:
  // Passes over the queue take at most a fifth of the time. The rest is for
  // requests, and for what the feeds deliver.
  static constexpr int kPassParts = 5;

  // Service, model, adapter, version.
  using Key = std::tuple<std::string, std::string, std::string, std::string>;

  // A load request that waits for a server or for the weight store.
  struct PendingLoad
  {
    LoadRequest mRequest;
    QueuedLoad mQueued;
    // When it is expected to be loaded, and when that was estimated.
    std::optional<TimePoint> mExpected;
    TimePoint mEstimatedAt{};
  };
  // Models of which servers of the zone have copies that a load may use.
  struct ZoneCopies
  {
    std::set<std::string_view> mOnDisk;
    std::set<std::string_view> mInMemory; // of servers without one on disk
  };
  using FreeServers = std::vector<const Backend*>;
  struct CollectedFacts
  {
    TimePoint mCountedAt{}; // demand and replicas
    TimePoint mCollectedAt{};
    uint64_t mJobChanges = 0; // as of mCollectedAt
    PlacementFacts mFacts;
  };
  // The orders that load one model or adapter on one server.
  struct Job
  {
    LoadRequest mRequest;
    std::string mServer;
    int64_t mStartTime = 0;
    std::deque<ModelOrder> mSteps;
    WeightSource mSource = WeightSource::Store;
    Millis mUnload{ 0 };
    Millis mLoad{ 0 };
    TimePoint mBegan{};
    TimePoint mExpected{};
    bool mLoading = false; // the last order, the load, was accepted
    // Only orders of this job can be in progress at the server: its last order
    // was accepted, and none has gone unanswered since.
    bool mOnlyOwnOrders = false;
    int mUnanswered = 0;
    int mAttempts = 0;    // attempts at the current step
    int mBusyAnswers = 0; // answers that an order is already in progress
    // The next order is sent then, whether the store knows of the former ones
    // or not; zero = not waiting for it.
    TimePoint mRecordedBy{};
    uint64_t mId = 0;
  };

  // Operators have taken the zone out of service; nothing is loaded there.
  bool Evacuated() const { return mState.mEvacuations.Evacuated(mZone); }
  void DropEvacuated();
  static Key KeyOf(const LoadRequest& aRequest);
  static std::string ClaimOf(const LoadRequest& aRequest);
  const EngineSpec* EngineOf(const std::string& aService) const;

  // Choice of the load requests to start, and of their servers.
  void ScheduleQueued();
  void DropGivenUp();
  std::vector<Key> StartQueued(const std::vector<PendingLoad*>& aRanked);
  void LogDropped(const PendingLoad& aPending);
  static LoadPatience PatienceFor(const PendingLoad& aPending, TimePoint aNow);
  LoadPriorityFacts PriorityFactsOf(const PendingLoad& aPending,
                                    const ZoneCopies& aCopies) const;
  ZoneCopies CopiesOf(const LoadRequest& aRequest) const;
  Millis ShortestLoadTime(const LoadRequest& aRequest,
                          const ZoneCopies& aCopies) const;
  bool Serves(const Job& aJob, const LoadRequest& aRequest) const;
  bool TryStartModel(const PendingLoad& aPending,
                     const LoadPatience& aPatience,
                     const FreeServers& aFree,
                     PlacementFacts& aFacts);
  bool TryStartAdapter(const LoadRequest& aRequest);
  std::optional<ModelOrder> LeastDemandedAdapter(const Backend& aBackend) const;
  PlacementFacts& FactsFor(const std::string& aService);
  PlacementFacts& FactsForEstimate(const std::string& aService);
  void CountUrgent(const std::string& aService, PlacementFacts& aFacts) const;
  size_t ServersInZone(const std::string& aService) const;
  FreeServers FreeServersOf(const PlacementFacts& aFacts) const;
  std::optional<Millis> Estimate(const LoadRequest& aRequest);
  std::optional<Millis> EstimateQueued(const LoadRequest& aRequest);
  std::optional<Millis> ExpectedFromOtherZone(const LoadRequest& aRequest);
  void AddReplicas();
  void AddRisingReplicas();
  bool IsLoading(const std::string& aService, const std::string& aModel) const;
  ReplicaNeed AddReplicaOf(const std::string& aService,
                           const std::string& aModel,
                           const ModelWeights& aWeights);
  // Announces to the other zones a load of a model that no server holds.
  void SendClaim(const LoadRequest& aRequest, bool aBegun, Millis aExpected);
  void SendStoreLoad(const std::string& aServer, Millis aLeft);
  void RepeatStoreLoads();

  // Orders of the jobs.
  Job* Find(const std::string& aServer, uint64_t aId);
  void StartJob(Job aJob);
  void CountPurpose(const Job& aJob);
  bool AwaitsRecord(Job& aJob, const ModelOrder& aOrder);
  void SendStep(const std::string& aServer, uint64_t aId);
  void OnAnswer(const std::string& aServer, uint64_t aId, OrderAnswer aAnswer);
  void OnAccepted(Job& aJob, bool aDone);
  void OnLoadOrderAccepted(Job& aJob);
  void AssumeLoaded(const std::string& aServer, uint64_t aId);
  void Retry(Job& aJob, Millis aDelay);
  void Resync(Job& aJob);
  void PollLoad(const std::string& aServer, uint64_t aId);
  void OnLoadPolled(const std::string& aServer, uint64_t aId, bool aConfirmed);
  void EndJob(const std::string& aServer, const char* aWhy);
  void MarkRecentlyLoaded(const Job& aJob);

  EntryState& mState;
  Peers& mPeers;
  Notify mNotify;
  std::function<void()> mChanged;
  LeaseLoop& mLease;
  std::string mZone;
  std::map<Key, PendingLoad> mQueue;
  std::map<std::string, Job> mJobs; // by server
  ServerInventories mInventories;
  // End of the protection from eviction, by server and model; see
  // PlacementFacts.
  std::map<std::pair<std::string, std::string>, TimePoint> mRecentlyLoaded;
  StoreLoadTracker mStoreLoads;
  LoadClaims mClaims;
  std::map<std::string, CollectedFacts> mFacts;    // by service
  std::map<std::string, EvictionLists> mEvictions; // by service
  size_t mMissingInZone = 0;
  WorkPacer mPacer{ kPassParts };
  bool mScheduleDue = false;
  TimePoint mScheduledAt{};
  uint64_t mNextJob = 0;
  uint64_t mJobChanges = 0; // jobs that have begun or ended
};

} // namespace caraway

#endif
