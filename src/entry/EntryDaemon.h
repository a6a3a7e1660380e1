// EntryDaemon.h: an entry instance on the platform, from start to exit.
#ifndef caraway_entry_EntryDaemon_h
#define caraway_entry_EntryDaemon_h

#include <memory>

#include "entry/ConfigFeed.h"
#include "entry/CrashReports.h"
#include "entry/EntryState.h"
#include "entry/FeedCheck.h"
#include "entry/FeedRelay.h"
#include "entry/Membership.h"
#include "entry/PeerForwarding.h"
#include "entry/Peers.h"
#include "entry/RatePermits.h"
#include "entry/RequestDispatcher.h"
#include "entry/ServerProbe.h"
#include "entry/StreamRecords.h"
#include "entry/TenantRateLimiter.h"
#include "entry/UsageRelay.h"
#include "entry/ZoneSchedulers.h"
#include "intake/ImmediateHandler.h"
#include "intake/ListenPort.h"
#include "store/StoreClient.h"

namespace caraway {

class EntryDaemon
{
public:
  // aLogFile: see EventLog. Throws Poco::Exception if an address of the
  // settings cannot be bound.
  EntryDaemon(const Clock& aClock, EntrySettings aSettings, int aLogFile);
  ~EntryDaemon() { mState.mReactor.Drop(); }

  // Waits for events for at most aMaxWait and handles them; called until
  // Gone().
  void RunPass(Millis aMaxWait);
  // Starts the shutdown: the instance is no longer ready, and exits when no
  // request is in flight, within the platform's grace time. aSignalledAt:
  // earliest time at which the platform may have sent the signal.
  void Leave(TimePoint aSignalledAt);
  void Leave() { Leave(mState.Now()); }
  bool Gone() const { return mGone; }
  bool Ready() const;
  // The lease of this zone has a known holder.
  bool LeaseHolderKnown() const;
  // This instance holds the lease of its zone.
  bool HoldsLease() const { return mZoneLease.Holds(); }

  // Parts of prompts for which this instance refuses requests.
  size_t PartsBlocked() const { return mCrashReports.Blocked(); }

  EntryState& State() { return mState; }

private:
  void StartUp();
  void CheckFeeds();
  void LogDelay();
  void LogGivenUp();
  void CheckLeaving();
  void LeaveZone();
  void OnStateChanged();
  void FillHeartbeat(Json::Value& aHeartbeat);
  void ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat);
  ImmediateReply MetricsReply() const;

  EntryState mState;
  StoreClient mStore;
  ConfigFeed mFeed;
  EvacuationFeed mEvacuationFeed;
  Peers mPeers;
  Membership mMembers;
  FeedRelay mFeedRelay;
  FeedCheck mFeedCheck;
  UsageRelay mUsageRelay;
  LeaseLoop mZoneLease;
  TenantRateLimiter mRateLimiter;
  ZoneSchedulers mSchedulers;
  RatePermits mRatePermits;
  PeerForwarding mForwarding;
  StreamRecords mStreams;
  CrashReports mCrashReports;
  RequestDispatcher mDispatcher;
  ServerProbe mServerProbe;
  ImmediateHandler mReadinessHandler;
  ImmediateHandler mMetricsHandler;
  std::shared_ptr<ListenPort> mCallers;
  std::shared_ptr<ListenPort> mReadiness;
  std::shared_ptr<ListenPort> mMetricsPort;
  TimePoint mLeavingSince{};
  RequestAccountFigures mLogged; // as of the last line of LogGivenUp()
  uint64_t mLoggedTurnedAway = 0;
  bool mLeftZone = false;
  bool mFinishedAll = false;
  bool mGone = false;
};

} // namespace caraway

#endif
