#include "daemon/Instance.h"

#include <sstream>
#include <thread>

#include "base/Incarnation.h"
#include "base/Log.h"

namespace caraway {

namespace {

constexpr Millis kHeartbeatInterval{ 500 };
constexpr Millis kSweepInterval{ 250 };
constexpr Millis kReconcileInterval{ 1000 };
constexpr Millis kFleetStatusTimeout{ 700 };
constexpr Millis kDrainStep{ 20 };
constexpr Millis kLastAnswersTimeout{ 200 }; // for all requests together
constexpr Millis kPortCloseTimeout{ 200 };   // per port
// Load threads mostly wait for an engine or for a permit of the weight store.
// There are enough of them that an urgent load doesn't wait for a thread behind
// those.
constexpr int kLoadThreads = 32;
constexpr int kClaimThreads = 4;
constexpr int kBriefingThreads = 4;
constexpr Millis kBriefingInterval{ 1000 };
constexpr size_t kMega = 1000000; // bytes

PlatformClientSettings
PlatformSettings(const Settings& aSettings)
{
  PlatformClientSettings settings;
  settings.mAddress = aSettings.mPlatformAddress;
  settings.mTimeout = aSettings.mPlatformTimeout;
  settings.mCallsPerSecond =
    static_cast<double>(aSettings.mPlatformCallsPerSecond);
  return settings;
}

// Freshness is confirmed when a watch returns. A lost watch (its length, 2 s
// more and a pause) must still leave some of the age up to which keys are
// trusted.
Millis
WatchTime(const Settings& aSettings)
{
  constexpr Millis kMaxWatch{ 10000 };
  return std::min(kMaxWatch, Millis(aSettings.mKeysMaxAge) / 8);
}

LoaderSettings
LoadSettings(const Settings& aSettings)
{
  LoaderSettings settings;
  settings.mZone = aSettings.mZone;
  return settings;
}

ShareSettings
ShareSettingsOf(const Settings& aSettings)
{
  ShareSettings settings;
  settings.mZone = aSettings.mZone;
  settings.mZones = static_cast<int>(aSettings.mZones.size());
  settings.mParameters.mLease = aSettings.mShareLease;
  settings.mParameters.mMargin = aSettings.mShareMargin;
  settings.mParameters.mIsolationLimit = Millis(aSettings.mShareIsolationLimit);
  settings.mGrantLifetime = aSettings.mShareGrantLife;
  return settings;
}

StoreGateSettings
StoreGateSettingsOf(const Settings& aSettings)
{
  StoreGateSettings settings;
  settings.mZones = static_cast<int>(aSettings.mZones.size());
  settings.mMaxLoads = static_cast<int>(aSettings.mStoreAtOnce);
  settings.mLoadRate = static_cast<double>(aSettings.mStoreStartsPerSecond);
  settings.mMaxConcurrentAdapters =
    static_cast<int>(aSettings.mStoreAdaptersAtOnce);
  return settings;
}

std::vector<AdminUser>
AdminUsers(const Settings& aSettings)
{
  std::vector<AdminUser> users;
  for (const AdminKey& key : aSettings.mAdminKeys) {
    users.push_back({ key.mName, key.mDigest });
  }
  return users;
}

} // namespace

Instance::Instance(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mLeave(mClock)
  , mPlatform(PlatformSettings(mSettings), mClock)
  , mConfigStore(mPlatform)
  , mConfig(mClock)
  , mRequests(std::make_shared<SharedRequestAccount>(RequestAccountLimitsFor(
      static_cast<size_t>(mSettings.mMemoryMb) * kMega)))
  , mPortLimits(PortLimitsFor(static_cast<size_t>(mSettings.mDescriptors),
                              mSettings.mCallerConnections))
  , mPeerPort(mSettings.mPeerSecret)
  , mPeers(mSettings.mPeerSecret, mSettings.mZone + "/" + mSettings.mId)
  , mPlacements(mPlatform, mClock)
  , mLoader(LoadSettings(mSettings), mPlacements, mEngines, mClock)
  , mLoadWorkers(kLoadThreads)
  , mClaimWorkers(kClaimThreads)
  , mBriefingWorkers(kBriefingThreads)
  , mOwner(mConfig, mLoader, mLoadWorkers, mClock)
  , mKeys(mConfig, Millis(mSettings.mKeysMaxAge))
  , mClaimRegistry(mClock)
  , mBriefings(mPlatform)
{
}

Instance::~Instance() = default;

void
Instance::Start()
{
  HttpPortLimits peers = LimitsOfPorts();
  peers.mThreads = mPortLimits.mPeers;
  mPeerPort.Open(mSettings.mPeerListen, peers);
  std::string address = mSettings.mPeerAdvertise.empty()
                          ? mPeerPort.Address()
                          : mSettings.mPeerAdvertise;
  mIncarnation = IncarnationMake(mSettings.mId, address);
  mMembers = std::make_unique<Members>(
    mClock, InstanceInfo{ mSettings.mId, mSettings.mZone, address, false });
  mWatcher = std::make_unique<ConfigWatcher>(
    mConfigStore, mConfig, mPeers, WatchTime(mSettings), mClock);
  mHeartbeat = std::make_unique<Heartbeat>(*mMembers,
                                           mPeers,
                                           mPlatform,
                                           mConfig,
                                           *mWatcher,
                                           mSettings.mPeerSeeds,
                                           mClock);
  mStoreGate = std::make_unique<StoreGate>(
    StoreGateSettingsOf(mSettings), *mMembers, mPeers, mClock);
  mLoader.SetStoreGate(*mStoreGate);
  mHomeZones = std::make_unique<HomeZones>(mSettings.mNear, *mMembers);
  mOwner.SetHomeZones(*mHomeZones);
  EndpointReconcilerSettings reconcilerSettings;
  reconcilerSettings.mIdleLimit = Millis(mSettings.mModelIdleLimit);
  reconcilerSettings.mMaxOrderDelay = Millis(mSettings.mModelOrderHorizon);
  mReconciler = std::make_unique<EndpointReconciler>(reconcilerSettings,
                                                     mConfig,
                                                     *mMembers,
                                                     mPlacements,
                                                     mEngines,
                                                     mLoader,
                                                     mClock);
  mShares = std::make_unique<ShareManager>(ShareSettingsOf(mSettings),
                                           mIncarnation,
                                           address,
                                           mPlatform,
                                           mPeers,
                                           *mMembers,
                                           mConfig,
                                           mClock);
  mShareClient = std::make_unique<ShareClient>(ShareSettingsOf(mSettings),
                                               mSettings.mZones,
                                               *mShares,
                                               mPeers,
                                               *mMembers,
                                               mClock);
  mClaims = std::make_unique<ClaimDriver>(
    mIncarnation, mPlatform, mPeers, mClaimRegistry, mClaimWorkers, mClock);
  mSlotFinder = std::make_unique<EngineSlotFinder>(
    mOwner, *mMembers, mPeers, mKeys, mMetrics);
  mModels = std::make_unique<ModelCalls>(
    *mSlotFinder, *mShareClient, mKeys, mLeave, mMetrics, mClock);
  mServices = std::make_unique<ServiceCalls>(
    *mClaims, *mShareClient, mLeave, mSettings.mZone, mClock);
  AddPeerMethods();
  mPeerPort.Serve();
  CallerPortSettings callers;
  callers.mListen = mSettings.mCallerListen;
  callers.mLimits = LimitsOfPorts();
  callers.mLimits.mThreads = mPortLimits.mCallers;
  callers.mBodyLimit = static_cast<size_t>(mSettings.mCallerBodyBytes);
  mCallers = std::make_unique<CallerPort>(callers,
                                          mConfig,
                                          mKeys,
                                          *mModels,
                                          *mServices,
                                          mBriefings,
                                          mMetrics,
                                          mClock);
  mBriefingRunner = std::make_unique<BriefingRunner>(
    mBriefings, *mModels, *mMembers, mConfig, mBriefingWorkers, mLeave, mClock);
  mCallers->Open();
  mAdmin = std::make_unique<AdminPort>(
    mSettings.mAdminListen, AdminUsers(mSettings), AdminDependencies());
  mAdmin->Open();
  mWatcher->Start();
  StartTickers();
  LogInfo("started", { { "incarnation", mIncarnation } });
}

void
Instance::AddPeerMethods()
{
  auto add = [this](const char* aName, PeerMethod aMethod) {
    mPeerPort.Add(aName, std::move(aMethod));
  };
  mWatcher->AddMethods(add);
  mHeartbeat->AddMethods(add);
  mShares->AddMethods(add);
  mStoreGate->AddMethods(add);
  mClaims->AddMethods(add);
  mSlotFinder->AddMethods(add);
  add("status", [this](const Json::Value&) { return Status(); });
}

void
Instance::StartTickers()
{
  auto addTicker = [this](Millis aEvery, std::function<void()> aRound) {
    mTickers.push_back(std::make_unique<Ticker>(aEvery, std::move(aRound)));
  };
  addTicker(kHeartbeatInterval, [this] { mHeartbeat->Round(); });
  addTicker(kSweepInterval, [this] { mOwner.Sweep(); });
  addTicker(kReconcileInterval, [this] { mReconciler->ReconcileAll(); });
  addTicker(kBriefingInterval, [this] {
    if (Ready()) {
      mBriefingRunner->Round();
    }
  });
  // Renews three times per lease. Before a configuration and a table exist,
  // tries at the heartbeat interval.
  Millis renew = mSettings.mShareLease / 3;
  addTicker(kHeartbeatInterval,
            [this, renew, lastRenewal = TimePoint{}]() mutable {
              TimePoint now = mClock.Now();
              bool due = mWoken.exchange(false) || lastRenewal == TimePoint{} ||
                         now - lastRenewal >= renew ||
                         mShares->Table().mMembers.count(mIncarnation) == 0;
              if (due && mConfig.Current()->mRevision > 0) {
                lastRenewal = now;
                mShares->RenewAndBalance();
              }
            });
  Ticker& shares = *mTickers.back();
  mShares->OnSlotsReceived([this, &shares] {
    mWoken = true;
    shares.TriggerNow();
  });
}

Json::Value
Instance::Addresses() const
{
  Json::Value json;
  json["id"] = mSettings.mId;
  json["zone"] = mSettings.mZone;
  json["caller"] = mCallers->Address();
  json["admin"] = mAdmin->Address();
  json["peer"] = mMembers->Self().mPeerAddress;
  json["peer_bound"] = mPeerPort.Address();
  return json;
}

bool
Instance::Ready() const
{
  // Without its zone's share table, this instance would refuse requests that
  // the other instances admit.
  return mConfig.Current()->mRevision > 0 && !mLeave.Leaving() &&
         !mShares->Table().mMembers.empty();
}

// What all ports have in common.
HttpPortLimits
Instance::LimitsOfPorts() const
{
  HttpPortLimits limits;
  limits.mWaiting = mPortLimits.mWaiting;
  limits.mClosing = mPortLimits.mClosing;
  limits.mAccount = mRequests;
  return limits;
}

AdminPort::Dependencies
Instance::AdminDependencies()
{
  AdminPort::Dependencies dependencies;
  dependencies.mConfig = &mConfig;
  dependencies.mStore = &mConfigStore;
  dependencies.mMetrics = &mMetrics;
  dependencies.mClock = &mClock;
  dependencies.mLimits = LimitsOfPorts();
  dependencies.mReady = [this] { return Ready(); };
  dependencies.mStatus = [this] { return Status(); };
  dependencies.mFleet = [this] { return Fleet(); };
  dependencies.mExtraMetrics = [this] { return ExtraMetrics(); };
  dependencies.mChanged = [this] { mWatcher->Refresh(); };
  return dependencies;
}

Json::Value
Instance::Status() const
{
  Json::Value json;
  json["id"] = mSettings.mId;
  json["zone"] = mSettings.mZone;
  json["incarnation"] = mIncarnation;
  json["ready"] = Ready();
  json["leaving"] = mLeave.Leaving();
  json["revision"] = Json::Int64(mConfig.Current()->mRevision);
  json["config_age_ms"] = Json::Int64(mConfig.Age().count());
  json["in_flight"] = mCallers->InFlight();
  json["models_busy"] = Json::UInt64(mOwner.ActiveRequests());
  json["share_slots"] = mShares->SlotsHeld();
  json["share_settled"] = mShares->Balanced();
  json["fit_instances"] = mMembers->AvailableCount();
  return json;
}

Json::Value
Instance::Fleet()
{
  Json::Value json;
  json["instances"].append(Status());
  for (const InstanceInfo& peer : mMembers->Peers()) {
    auto answer = Outcome([&] {
      return mPeers.Call(peer.mPeerAddress,
                         "status",
                         Json::Value(Json::objectValue),
                         kFleetStatusTimeout);
    });
    if (auto* status = std::get_if<Json::Value>(&answer)) {
      json["instances"].append(*status);
    } else {
      Json::Value unreachable;
      unreachable["id"] = peer.mId;
      unreachable["zone"] = peer.mZone;
      unreachable["silent"] = true;
      json["instances"].append(unreachable);
    }
  }
  return json;
}

std::string
Instance::ExtraMetrics() const
{
  std::ostringstream out;
  const PlatformCounts& platform = mPlatform.Counts();
  auto count = [&](const char* aName, int64_t aValue) {
    out << aName << " " << aValue << "\n";
  };
  RequestAccountFigures held = mRequests->Figures();
  count("caraway_request_bytes_held", static_cast<int64_t>(held.mTotal));
  count("caraway_request_bytes_held_peak", static_cast<int64_t>(held.mPeak));
  count("caraway_request_bytes_held_by_large",
        static_cast<int64_t>(held.mLarge));
  count("caraway_request_bytes_limit", static_cast<int64_t>(held.mLimit));
  count("caraway_requests_given_up_total{why=\"stood_still\"}",
        held.mGivenUpStill);
  count("caraway_requests_given_up_total{why=\"largest\"}",
        held.mGivenUp - held.mGivenUpStill);
  count("caraway_platform_calls_total{op=\"read\"}", platform.mReads);
  count("caraway_platform_calls_total{op=\"list\"}", platform.mLists);
  count("caraway_platform_calls_total{op=\"write\"}", platform.mWrites);
  count("caraway_platform_calls_total{op=\"watch\"}", platform.mWatches);
  count("caraway_platform_failures_total", platform.mFailures);
  count("caraway_platform_over_budget_total", platform.mOverBudget);
  count("caraway_peer_calls_total", mPeers.Counts().mCalls);
  count("caraway_peer_failures_total", mPeers.Counts().mFailures);
  count("caraway_peer_bytes_out_total", mPeers.Counts().mBytesOut);
  count("caraway_peer_bytes_in_total", mPeers.Counts().mBytesIn);
  count("caraway_loads_decided_total", mLoader.Counts().mDecided);
  count("caraway_loads_joined_total", mLoader.Counts().mJoined);
  count("caraway_evictions_total", mLoader.Counts().mEvicted);
  count("caraway_optional_loads_given_up_total",
        mLoader.Counts().mOptionalAbandoned);
  const ShareClientCounts& shares = mShareClient->Counts();
  count("caraway_share_takes_total", shares.mTakes);
  count("caraway_share_asks_total", shares.mPeerTakes);
  count("caraway_share_borrowed_total", shares.mBorrowed);
  count("caraway_share_lapsed_total", shares.mGatheredTooSlowly);
  count("caraway_in_flight", mCallers->InFlight());
  count("caraway_config_revision", mConfig.Current()->mRevision);
  count("caraway_config_age_ms", mConfig.Age().count());
  return out.str();
}

bool
Instance::Busy() const
{
  return mCallers->InFlight() > 0 || mAdmin->InFlight() > 0 ||
         mOwner.ActiveRequests() > 0 || !mClaimWorkers.Idle() ||
         !mLoadWorkers.Idle() || !mBriefingWorkers.Idle();
}

int
Instance::Shutdown(TimePoint aSignalledAt)
{
  TimePoint begun = mClock.Now();
  LeaveTimes times;
  times.mBalancerLag = mSettings.mShutdownLag;
  times.mGrace = mSettings.mShutdownLag + mSettings.mShutdownLimit;
  times.mNoticedAfter =
    std::chrono::duration_cast<Millis>(begun - aSignalledAt);
  LogInfo(
    "leaving",
    { { "noticed_after_ms", std::to_string(times.mNoticedAfter.count()) } });
  mLeave.Begin(times);
  mCallers->Leave();
  mMembers->MarkSelfLeaving();
  // Detached, so that peers that don't answer don't delay the shutdown; the
  // thread ends with the process.
  std::thread([this] { mHeartbeat->AnnounceLeaving(); }).detach();
  // The balancer keeps sending until it has seen that this instance isn't
  // ready.
  std::this_thread::sleep_until(
    std::min(begun + mSettings.mShutdownLag, mLeave.End()));
  mCallers->Drain();
  LogInfo("draining",
          { { "in_flight", std::to_string(mCallers->InFlight()) },
            { "admin", std::to_string(mAdmin->InFlight()) },
            { "places", std::to_string(mOwner.ActiveRequests()) },
            { "claims_idle", mClaimWorkers.Idle() ? "yes" : "no" },
            { "loads_idle", mLoadWorkers.Idle() ? "yes" : "no" },
            { "briefings_idle", mBriefingWorkers.Idle() ? "yes" : "no" } });
  while (Busy() && mClock.Now() < mLeave.End()) {
    std::this_thread::sleep_for(kDrainStep);
  }
  int cut = mCallers->AnswerShuttingDown(mClock.Now() + kLastAnswersTimeout);
  mCallers->Close(kPortCloseTimeout);
  mTickers.clear();
  mShares->Leave();
  mAdmin->Close(kPortCloseTimeout);
  mPeerPort.Close(kPortCloseTimeout);
  LogInfo("left", { { "cut", std::to_string(cut) } });
  return cut;
}

} // namespace caraway
