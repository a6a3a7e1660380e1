#include "entry/EntryDaemon.h"

#include "base/JsonText.h"
#include "entry/ColdReports.h"
#include "intake/ConnectionLimits.h"
#include "platform/WireNames.h"

namespace caraway {

namespace {

constexpr Millis kSweepInterval{ 500 };

// Of a request to the readiness or metrics port. It has no body, but a proxy
// may send an empty one in chunks.
constexpr size_t kMaxProbeBodyBytes = 1024;

// A caller that was told to keep its connection usually sends its next request
// within this time. The request is still answered, and the connection is
// closed.
constexpr Millis kNextRequestTime{ 300 };

// A pass of the event loop that holds the next one up for this long is logged.
constexpr Millis kLoggedDelay{ 250 };

// Interval of the checks whether the shutdown is complete.
constexpr Millis kLeaveCheckInterval{ 50 };

CallerLimits
ProbeLimits()
{
  CallerLimits limits;
  limits.mBodyBytes = kMaxProbeBodyBytes;
  return limits;
}

} // namespace

EntryDaemon::EntryDaemon(const Clock& aClock,
                         EntrySettings aSettings,
                         int aLogFile)
  : mState(aClock, std::move(aSettings), aLogFile)
  , mStore(mState.mReactor,
           mState.mLog,
           mState.mMetrics,
           mState.mSettings.mStore)
  , mFeed(mState, mStore, [this] { OnStateChanged(); })
  , mEvacuationFeed(mState, mStore, [this] { OnStateChanged(); })
  , mPeers(mState)
  , mMembers(mState, mStore, mPeers)
  , mFeedRelay(mState, mStore, mPeers, mFeed, mEvacuationFeed)
  , mFeedCheck(mState, mPeers, mFeed, mEvacuationFeed, mFeedRelay)
  , mUsageRelay(mState, mPeers)
  , mZoneLease(mState,
               mStore,
               mPeers,
               ZoneLeaseName(mState.mSettings.mZone),
               mState.mSettings.mOrderSilence)
  , mRateLimiter(mState, mPeers, mMembers)
  , mSchedulers(mState,
                mStore,
                mPeers,
                mMembers,
                mZoneLease,
                [this] { OnStateChanged(); })
  , mRatePermits(mState, mPeers)
  , mForwarding(mState, mPeers)
  , mStreams(mState, mStore, mPeers)
  , mCrashReports(mState, mStore, mPeers, mMembers)
  , mDispatcher(mState,
                mRateLimiter,
                mSchedulers,
                mForwarding,
                mStreams,
                mCrashReports,
                mFeedCheck,
                mRatePermits)
  , mServerProbe(mState)
  , mReadinessHandler(
      [this](const InboundRequest& aRequest) {
        bool asked = aRequest.mHead.mTarget == wire::kReadyPath;
        return ImmediateReply{ !asked ? 404 : Ready() ? 200 : 503, "", "" };
      },
      ProbeLimits())
  , mMetricsHandler([this](const InboundRequest&) { return MetricsReply(); },
                    ProbeLimits())
{
  StartUp();
}

void
EntryDaemon::StartUp()
{
  mState.mLog.Line("started")
    .Text("zone", mState.mSettings.mZone)
    .Text("callers", mState.mSettings.mCallers)
    .Text("store", mState.mSettings.mStore);
  for (const std::string& field : mState.mSettings.mIgnored) {
    LogIgnored(mState, "settings", field);
  }
  Reactor& reactor = mState.mReactor;
  const EntrySettings& settings = mState.mSettings;
  ConnectionLimits limits = ConnectionLimitsFor(settings.mDescriptors);
  auto open = [this](const std::string& aAddress,
                     InboundHandler& aHandler,
                     size_t aMaxOpen) {
    return ListenPort::Open(
      mState.mReactor, mState.mRequests, aAddress, aHandler, aMaxOpen);
  };
  mCallers = open(settings.mCallers, mDispatcher, limits.mCallers);
  mReadiness = open(settings.mReadiness, mReadinessHandler, limits.mOther);
  if (!settings.mMetrics.empty()) {
    mMetricsPort = open(settings.mMetrics, mMetricsHandler, limits.mOther);
  }
  mPeers.OnHeartbeatFill(
    [this](Json::Value& aHeartbeat) { FillHeartbeat(aHeartbeat); });
  mPeers.OnHeartbeat([this](const Peer& aPeer, const Json::Value& aHeartbeat) {
    ReadHeartbeat(aPeer, aHeartbeat);
  });
  mPeers.OnForwarded(mDispatcher);
  mPeers.AddMethod("evacuations", [this](const Json::Value&) {
    return mEvacuationFeed.ToJson();
  });
  mCrashReports.Start();
  mPeers.Start();
  mMembers.Start();
  mFeedRelay.Start();
  mUsageRelay.Start();
  mFeed.Start();
  mEvacuationFeed.Start();
  mFeedCheck.Start();
  mZoneLease.Start();
  mRateLimiter.Start();
  mSchedulers.Start();
  mRatePermits.Start();
  mStreams.Start();
  // An instance that reaches no server can't order its zone's loads.
  mServerProbe.OnLastingChange([this](bool aCutOff) {
    mZoneLease.SetWanted(!aCutOff && !mState.mLeave.Leaving());
  });
  mServerProbe.Start();
  reactor.Every(kSweepInterval, [this] {
    mCallers->Sweep();
    mReadiness->Sweep();
    mState.mServerPool.Sweep();
    mState.mPeerPool.Sweep();
    if (mMetricsPort) {
      mMetricsPort->Sweep();
    }
    mPeers.Sweep();
    LogGivenUp();
  });
}

// One line for all requests and connections that were refused since the last
// one, as a crowd would fill the log.
void
EntryDaemon::LogGivenUp()
{
  RequestAccountFigures held = mState.mRequests.Figures();
  uint64_t turnedAway = mCallers->TurnedAway();
  if (held.mGivenUp == mLogged.mGivenUp && turnedAway == mLoggedTurnedAway) {
    return;
  }
  mState.mLog.Line("requests_given_up")
    .Count("requests", held.mGivenUp - mLogged.mGivenUp)
    .Count("still", held.mGivenUpStill - mLogged.mGivenUpStill)
    .Count("turned_away", static_cast<int64_t>(turnedAway - mLoggedTurnedAway))
    .Count("held_bytes", static_cast<int64_t>(held.mTotal))
    .Count("held_by_large", static_cast<int64_t>(held.mLarge))
    .Count("peak_bytes", static_cast<int64_t>(held.mPeak))
    .Count("connections", static_cast<int64_t>(mCallers->Connections()));
  mLogged = held;
  mLoggedTurnedAway = turnedAway;
}

void
EntryDaemon::OnStateChanged()
{
  mStreams.OnServersChanged();
  mCrashReports.OnServersChanged();
  mSchedulers.OnChanged();
  mDispatcher.OnServersChanged();
}

bool
EntryDaemon::Ready() const
{
  return !mState.mLeave.Leaving() && mState.mConfig && mState.mServersKnown &&
         !mState.mAwaitsEvacuations && mCrashReports.EndsKnown() &&
         !mState.InDoubt();
}

bool
EntryDaemon::LeaseHolderKnown() const
{
  return mZoneLease.MayAct() || !mPeers.HolderOf(mZoneLease.Name()).empty();
}

// ---- Heartbeats

void
EntryDaemon::FillHeartbeat(Json::Value& aHeartbeat)
{
  mFeedRelay.FillHeartbeat(aHeartbeat);
  mUsageRelay.FillHeartbeat(aHeartbeat);
  mCrashReports.FillHeartbeat(aHeartbeat);
  mRatePermits.FillHeartbeat(aHeartbeat);
}

void
EntryDaemon::ReadHeartbeat(const Peer& aPeer, const Json::Value& aHeartbeat)
{
  mUsageRelay.ReadHeartbeat(aPeer, aHeartbeat);
  mFeedRelay.ReadHeartbeat(aPeer, aHeartbeat);
  mCrashReports.ReadHeartbeat(aHeartbeat);
  mRatePermits.ReadHeartbeat(aHeartbeat);
  mDispatcher.OnServersChanged();
}

ImmediateReply
EntryDaemon::MetricsReply() const
{
  std::string text = mState.mMetrics.Text();
  auto gauge = [&text](const char* aName, int64_t aValue) {
    text += std::string(aName) + " " + std::to_string(aValue) + "\n";
  };
  gauge("caraway_config_version",
        mState.mConfig ? mState.mConfig->mVersion : 0);
  gauge("caraway_servers", static_cast<int64_t>(mState.mServers.All().size()));
  gauge("caraway_zones_evacuated",
        static_cast<int64_t>(mState.mEvacuations.Zones().size()));
  gauge("caraway_servers_cold",
        static_cast<int64_t>(mState.mServers.ColdServers(mState.Now())));
  gauge("caraway_servers_rate_limited",
        static_cast<int64_t>(mState.mServers.RateLimitedServers()));
  gauge("caraway_cut_off_from_servers", mState.mServerReach.CutOff() ? 1 : 0);
  gauge("caraway_instances", mState.mInstances);
  gauge("caraway_requests_under_way",
        static_cast<int64_t>(mDispatcher.RequestsInFlight()));
  gauge("caraway_requests_waiting",
        static_cast<int64_t>(mDispatcher.Waiting()));
  for (const auto& [priority, waiting] : mDispatcher.WaitingByClass()) {
    std::string label = "{class=\"" + std::to_string(priority) + "\"}";
    gauge(("caraway_requests_waiting_in_order" + label).c_str(), waiting);
  }
  gauge("caraway_stream_records", static_cast<int64_t>(mStreams.Size()));
  gauge("caraway_parts_blocked", static_cast<int64_t>(mCrashReports.Blocked()));
  gauge("caraway_parts_suspected",
        static_cast<int64_t>(mCrashReports.Suspects()));
  gauge("caraway_requests_refused_as_harmful",
        static_cast<int64_t>(mCrashReports.RequestsRefused()));
  gauge("caraway_requests_with_ended_servers",
        static_cast<int64_t>(mCrashReports.RequestsSuspected()));
  gauge("caraway_sockets", static_cast<int64_t>(mState.mReactor.Sockets()));
  RequestAccountFigures held = mState.mRequests.Figures();
  gauge("caraway_connections", static_cast<int64_t>(mCallers->Connections()));
  gauge("caraway_connections_turned_away_total",
        static_cast<int64_t>(mCallers->TurnedAway()));
  gauge("caraway_request_bytes_held", static_cast<int64_t>(held.mTotal));
  gauge("caraway_request_bytes_held_peak", static_cast<int64_t>(held.mPeak));
  gauge("caraway_request_bytes_held_by_large",
        static_cast<int64_t>(held.mLarge));
  gauge("caraway_request_bytes_limit", static_cast<int64_t>(held.mLimit));
  gauge("caraway_requests_given_up_total{why=\"stood_still\"}",
        held.mGivenUpStill);
  gauge("caraway_requests_given_up_total{why=\"largest\"}",
        held.mGivenUp - held.mGivenUpStill);
  gauge("caraway_log_lines_left_out", mState.mLog.DroppedLines());
  gauge("caraway_config_age_ms",
        mState.AgeOf(mFeed.ConfigConfirmedAt()).count());
  gauge("caraway_list_age_ms", mState.AgeOf(mFeed.ListConfirmedAt()).count());
  gauge("caraway_list_told_by_another", mFeed.Paused() ? 1 : 0);
  gauge("caraway_lease_held", mZoneLease.Holds() ? 1 : 0);
  gauge("caraway_zones_led", static_cast<int64_t>(mSchedulers.LedZones()));
  gauge("caraway_loads_under_way", static_cast<int64_t>(mSchedulers.Loads()));
  gauge("caraway_zone_models_missing",
        static_cast<int64_t>(mSchedulers.MissingInZones()));
  gauge("caraway_loads_queued", static_cast<int64_t>(mSchedulers.Waiting()));
  gauge("caraway_loads_overdue",
        static_cast<int64_t>(mSchedulers.OverdueLoads()));
  gauge("caraway_store_age_ms", mState.AgeOf(mStore.LastSuccessAt()).count());
  return { 200, "text/plain", text };
}

// ---- Event loop and shutdown

void
EntryDaemon::RunPass(Millis aMaxWait)
{
  mState.mReactor.RunPass(aMaxWait);
  LogDelay();
  CheckFeeds();
  mState.mLog.Flush();
}

// While the feeds are in doubt the instance isn't ready, so that no request
// might come and start the check.
void
EntryDaemon::CheckFeeds()
{
  mState.NoteStandstill();
  if (mState.InDoubt()) {
    mFeedCheck.Check({});
  }
}

// Tells an operator why requests were late and lists outdated for a moment.
void
EntryDaemon::LogDelay()
{
  Millis delay = mState.mReactor.LastDelay();
  if (delay < kLoggedDelay) {
    return;
  }
  mState.mMetrics.Count("caraway_loop_delays_total", "");
  mState.mLog.Line("loop_delayed")
    .Ms("delay_ms", delay)
    .Count("under_way", static_cast<int64_t>(mDispatcher.RequestsInFlight()))
    .Count("waiting", static_cast<int64_t>(mDispatcher.Waiting()))
    .Count("loads_queued", static_cast<int64_t>(mSchedulers.Waiting()))
    .Count("sockets", static_cast<int64_t>(mState.mReactor.Sockets()))
    .Ms("list_age_ms", mState.AgeOf(mFeed.ListConfirmedAt()))
    .Ms("config_age_ms", mState.AgeOf(mFeed.ConfigConfirmedAt()));
}

void
EntryDaemon::Leave(TimePoint aSignalledAt)
{
  if (mState.mLeave.Leaving()) {
    return;
  }
  mLeavingSince = mState.Now();
  LeaveTimes times;
  times.mGrace = mState.mSettings.mGrace;
  times.mNoticedAfter = mState.AgeOf(aSignalledAt);
  mState.mLeave.Begin(mLeavingSince, times);
  mState.mLog.Line("leaving")
    .Count("under_way", static_cast<int64_t>(mDispatcher.RequestsInFlight()))
    .Ms("noticed_after_ms", times.mNoticedAfter);
  mZoneLease.Release();
  CheckLeaving();
}

// Called once callers are no longer accepted. Gives the remaining tenant tokens
// to a zone peer; this instance's part of the limits is divided among all.
void
EntryDaemon::LeaveZone()
{
  if (!mLeftZone) {
    mLeftZone = true;
    mRateLimiter.Leave();
    mMembers.Leave();
  }
}

void
EntryDaemon::CheckLeaving()
{
  TimePoint now = mState.Now();
  mState.mLeave.Shorten(mState.mSettings.mGrace); // may have been reloaded
  bool closed = !mState.mLeave.ExpectsCallers(now);
  if (closed) {
    mCallers->Close();
    mCallers->CloseIdle(ConnectionCloseReason::Leaving, kNextRequestTime);
    LeaveZone();
  } else {
    // The load balancer takes new connections elsewhere; requests on these ones
    // would come here, and long streams among them be cut by the exit.
    mCallers->CloseUsedIdle(ConnectionCloseReason::Leaving, kNextRequestTime);
  }
  // An instance that was stopped may notice the signal near the end. Its last
  // answers still get a pass to be sent, and requests that arrived meanwhile
  // one to be read.
  bool finishedBefore = mFinishedAll;
  if (now >= mState.mLeave.End() && !mFinishedAll) {
    mFinishedAll = true;
    mState.mLog.Line("last_answers")
      .Count("under_way", static_cast<int64_t>(mDispatcher.RequestsInFlight()));
    mDispatcher.AnswerAll();
    mCallers->RejectPartialRequests();
  }
  bool done = closed && mDispatcher.RequestsInFlight() == 0 &&
              mCallers->AllClosed() && !mMembers.RemovingEntry();
  bool over = finishedBefore && now >= mState.mLeave.Exit();
  if (done || over) {
    mDispatcher.AbortStreams();
    mCallers->EndAll();
    mState.mLog.Line("left").Ms("after_ms", mState.AgeOf(mLeavingSince));
    mGone = true;
    return;
  }
  mState.mReactor.After(kLeaveCheckInterval, [this] { CheckLeaving(); });
}

} // namespace caraway
