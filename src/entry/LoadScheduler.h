// LoadScheduler.h: brings models and adapters to servers.
//
// The holder of a zone's lease decides and orders. It alone orders servers of
// the zone, one order at a time for each, under the count of orders that it
// believes a server has accepted: an order that is carried out late, after
// others, then does nothing. Any instance asks it, see ZoneSchedulers.
#ifndef caraway_entry_LoadScheduler_h
#define caraway_entry_LoadScheduler_h

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include "decide/LoadClaims.h"
#include "decide/LoadPriority.h"
#include "decide/ModelOrder.h"
#include "decide/PlacementPlan.h"
#include "decide/StoreLoadTracker.h"
#include "entry/LeaseLoop.h"
#include "entry/LoadRequester.h"
#include "entry/Peers.h"
#include "entry/ServerInventories.h"

namespace caraway {

class LoadScheduler
{
public:
  // Tells the other zones' holders.
  using Tell = std::function<void(const char* aKind, const Json::Value& aNote)>;

  // aLease: of aZone. aChanged: what some server holds is believed anew.
  LoadScheduler(EntryState& aState,
                Peers& aPeers,
                LeaseLoop& aLease,
                std::string aZone,
                Tell aTell,
                std::function<void()> aChanged);

  void Start();
  // The list of servers or the configuration changed.
  void OnChanged();

  const std::string& Zone() const { return mZone; }
  // It gives the orders of its zone.
  bool Holds() const { return mLease.Holds(); }
  size_t Loads() const { return mJobs.size(); }
  size_t Waiting() const { return mQueue.size(); }

  // Somebody asks for a model or adapter; when it is expected.
  Json::Value OnLoadRequest(const LoadRequest& aWant);
  // Of another zone's holder.
  void OnClaim(const Json::Value& aNote);
  void OnStoreLoad(const Json::Value& aNote);
  // Of this zone's holder, about one of its servers.
  void OnContent(const Json::Value& aNote) { mInventories.OnContent(aNote); }

private:
  // Service, model, adapter.
  using Key = std::tuple<std::string, std::string, std::string>;

  // A want that waits for a server or for the weight store.
  struct Queued
  {
    LoadRequest mWant;
    TimePoint mSince{};
    TimePoint mAskedAt{};
    TimePoint mNeedBy{}; // the youngest request's answer begins late after it
  };
  // The orders that bring one model or adapter to one server.
  struct Job
  {
    LoadRequest mWant;
    std::string mServer;
    int64_t mStartTime = 0;
    std::deque<ModelOrder> mSteps;
    WeightSource mSource = WeightSource::Store;
    Millis mUnload{ 0 };
    Millis mLoad{ 0 };
    TimePoint mBegan{};
    TimePoint mExpected{};
    bool mLoading = false; // its last order was accepted
    // Only own orders can be under way at the server: the last one was
    // accepted, and no answer was missed since.
    bool mCounted = false;
    int mUnanswered = 0;
    int mTries = 0; // of the step at hand
    int mBusy = 0;  // answers that another order is under way
    uint64_t mId = 0;
  };

  static Key KeyOf(const LoadRequest& aWant);
  const EngineSpec* EngineOf(const std::string& aService) const;

  // Deciding.
  void Pump();
  LoadPriorityFacts PriorityFactsOf(const Queued& aQueued) const;
  Millis ShortestLoadTime(const LoadRequest& aWant) const;
  bool Begin(const LoadRequest& aWant, PlacementFacts& aFacts);
  bool BeginAdapter(const LoadRequest& aWant);
  std::optional<ModelOrder> LeastDemandedAdapter(const Backend& aBackend) const;
  PlacementFacts& FactsFor(const std::string& aService);
  size_t ServersInZone(const std::string& aService) const;
  bool AnyServerFree(const PlacementFacts& aFacts) const;
  std::optional<Millis> Estimate(const LoadRequest& aWant);
  std::optional<Millis> ExpectedFromOtherZone(const LoadRequest& aWant);
  void AddReplicas();
  // To the other zones' holders, for a model that nobody holds.
  void SendClaim(const LoadRequest& aWant, bool aBegun, Millis aExpected);
  void SendStoreLoad(const std::string& aServer, Millis aLeft);

  // Ordering.
  Job* Find(const std::string& aServer, uint64_t aId);
  void StartJob(Job aJob);
  void SendStep(const std::string& aServer, uint64_t aId);
  void OnAnswer(const std::string& aServer, uint64_t aId, OrderAnswer aAnswer);
  void OnAccepted(Job& aJob, bool aDone);
  void AfterLoadOrder(Job& aJob);
  void AssumeLoaded(const std::string& aServer, uint64_t aId);
  void Retry(Job& aJob, Millis aDelay);
  void Resync(Job& aJob);
  void PollLoaded(const std::string& aServer, uint64_t aId);
  void OnPolled(const std::string& aServer, uint64_t aId, bool aSettled);
  void EndJob(const std::string& aServer, const char* aWhy);
  void Settle(const std::string& aServer, const std::string& aModel);

  EntryState& mState;
  Peers& mPeers;
  Tell mTell;
  std::function<void()> mChanged;
  LeaseLoop& mLease;
  std::string mZone;
  std::map<Key, Queued> mQueue;
  std::map<std::string, Job> mJobs; // by server
  ServerInventories mInventories;
  // Until when, by server and model; see PlacementFacts.
  std::map<std::pair<std::string, std::string>, TimePoint> mRecentlyLoaded;
  StoreLoadTracker mStoreLoads;
  LoadClaims mClaims;
  // By service, with when demand and replicas were counted.
  std::map<std::string, std::pair<TimePoint, PlacementFacts>> mFacts;
  bool mScheduleDue = false;
  TimePoint mScheduledAt{};
  uint64_t mNextJob = 0;
};

} // namespace caraway

#endif
