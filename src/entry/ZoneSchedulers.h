// ZoneSchedulers.h: sends load requests to the zone that can load the model or
// adapter soonest.
//
// The holder of a zone's lease, usually an instance of the zone, schedules the
// loads on the zone's servers. A zone without an instance is led by an instance
// of another zone until one of its own starts; see ZoneTakeover.
#ifndef caraway_entry_ZoneSchedulers_h
#define caraway_entry_ZoneSchedulers_h

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "decide/ZoneChoice.h"
#include "decide/ZoneTakeover.h"
#include "entry/Membership.h"
#include "load/LoadRequestCalls.h"
#include "load/LoadRequester.h"
#include "load/LoadScheduler.h"

namespace caraway {

class ZoneSchedulers : public LoadRequester
{
public:
  // aLease: the lease of this instance's zone.
  ZoneSchedulers(EntryState& aState,
                 StoreClient& aStore,
                 Peers& aPeers,
                 Membership& aMembers,
                 LeaseLoop& aLease,
                 std::function<void()> aChanged);

  void Start();
  // Called when the list of servers or the configuration has changed.
  void OnChanged();

  size_t Loads() const;
  size_t Waiting() const;
  // Over the zones that this instance leads; see LoadScheduler.
  size_t MissingInZones() const;
  size_t OverdueLoads() const; // see LoadScheduler::Overdue()
  // Number of zones whose lease this instance holds.
  size_t LedZones() const;

  void RequestLoad(const LoadRequest& aRequest) override;
  std::optional<Millis> Expected(const LoadRequest& aRequest) override;

private:
  // Service, model, adapter, version, excluded zones.
  using Key = std::tuple<std::string,
                         std::string,
                         std::string,
                         std::string,
                         std::set<std::string>>;

  // A load request of this instance and its last reply.
  struct RequestState
  {
    TimePoint mSentAt{};
    std::string mZone;                            // that was asked last
    LoadPurpose mPurpose = LoadPurpose::Unstated; // as sent
    TimePoint mExpected{}; // end of the load; zero = not known
    bool mRequestPending = false;
  };
  struct SchedulerState
  {
    std::string mHolder; // "" = this instance
    int mQueued = 0;
  };
  // Another zone, which this instance may lead while the zone has no instance.
  struct OtherZone
  {
    OtherZone(EntryState& aState,
              StoreClient& aStore,
              Peers& aPeers,
              const std::string& aZone);

    LeaseLoop mLease;
    ZoneTakeover mTakeover;
    bool mLed = false; // as last logged
  };

  static Key KeyOf(const LoadRequest& aRequest);
  void Add(const std::string& aZone, LeaseLoop& aLease);
  LoadScheduler* Find(const std::string& aZone) const;

  // Load requests.
  std::optional<SchedulerState> SchedulerStateOf(
    const std::string& aZone) const;
  void ForgetOldRequests(TimePoint aNow);
  std::string ZoneFor(const LoadRequest& aRequest) const;
  void OnLoadReply(const LoadRequest& aRequest,
                   bool aGood,
                   const Json::Value& aResult);
  Json::Value OnLoadRequestCall(const std::string& aZone,
                                const LoadRequest& aRequest);
  void OnContent(const Json::Value& aMessage);
  void NotifyHolders(const std::string& aFrom,
                     const char* aKind,
                     const Json::Value& aMessage);
  void DispatchMessage(LoadScheduler& aScheduler,
                       const char* aKind,
                       const Json::Value& aMessage);

  // Leading zones that have no instance.
  void StartTakeovers();
  void OnHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat);
  void CheckZones();
  void CheckZone(const std::string& aZone, OtherZone& aOther);
  int RankFor(const std::string& aZone) const;
  void LogLed(const std::string& aZone, OtherZone& aOther);

  EntryState& mState;
  StoreClient& mStore;
  Peers& mPeers;
  Membership& mMembers;
  std::function<void()> mChanged;
  LoadRequestCalls mCalls;
  std::map<Key, RequestState> mRequests;
  TimePoint mForgotAt{}; // when old ones were last removed
  std::map<std::string, std::unique_ptr<OtherZone>> mOtherZones;     // by zone
  std::map<std::string, std::unique_ptr<LoadScheduler>> mSchedulers; // by zone
  std::set<std::string> mLeaving; // instances that are shutting down
};

} // namespace caraway

#endif
