// Instance.h: the complete state of one entry instance.
#ifndef caraway_daemon_Instance_h
#define caraway_daemon_Instance_h

#include <atomic>
#include <memory>
#include <string>

#include "admin/AdminPort.h"
#include "base/Metrics.h"
#include "base/Ticker.h"
#include "base/WorkerPool.h"
#include "daemon/ConfigWatcher.h"
#include "daemon/Heartbeat.h"
#include "daemon/PortLimits.h"
#include "daemon/Settings.h"
#include "own/EndpointReconciler.h"
#include "own/ModelOwner.h"
#include "peer/PeerPort.h"
#include "platform/PlatformClient.h"
#include "serve/BriefingRunner.h"
#include "serve/CallerPort.h"
#include "serve/LeaveGate.h"

namespace caraway {

// Members are in order of construction; each depends only on those above it.
class Instance
{
public:
  explicit Instance(Settings aSettings);
  ~Instance();

  // Opens the ports. Throws Poco::Exception if an address can't be bound.
  void Start();
  // {"id":…,"zone":…,"caller":…,"admin":…,"peer":…,"peer_bound":…}: the
  // addresses as bound, but "peer" as advertised to peers.
  Json::Value Addresses() const;
  // Reports not ready, keeps serving for the balancer's lag, finishes requests
  // in flight and hands over its leases. Returns how many requests were cut
  // off; each of them got a last answer. aSignalledAt: earliest time at which
  // the signal may have been sent.
  int Shutdown(TimePoint aSignalledAt);
  const Clock& SourceClock() const { return mClock; }

private:
  void AddPeerMethods();
  void StartTickers();
  bool Busy() const;
  HttpPortLimits LimitsOfPorts() const;
  AdminPort::Dependencies AdminDependencies();
  Json::Value Status() const;
  Json::Value Fleet();
  std::string ExtraMetrics() const;
  bool Ready() const;

  Settings mSettings;
  SystemClock mClock;
  Metrics mMetrics;
  LeaveGate mLeave;
  PlatformClient mPlatform;
  ConfigStore mConfigStore;
  ConfigHolder mConfig;
  std::shared_ptr<SharedRequestAccount> mRequests; // held at all ports
  PortLimits mPortLimits;
  PeerPort mPeerPort;
  std::string mIncarnation; // id.random@address; set once the port is bound
  PeerClient mPeers;
  std::unique_ptr<Members> mMembers;
  std::unique_ptr<HomeZones> mHomeZones;
  std::unique_ptr<ConfigWatcher> mWatcher;
  std::unique_ptr<Heartbeat> mHeartbeat;
  PlacementStore mPlacements;
  EngineClient mEngines;
  Loader mLoader;
  WorkerPool mLoadWorkers;
  WorkerPool mClaimWorkers;
  WorkerPool mBriefingWorkers;
  ModelOwner mOwner;
  std::unique_ptr<StoreGate> mStoreGate;
  std::unique_ptr<EndpointReconciler> mReconciler;
  std::unique_ptr<ShareManager> mShares;
  std::unique_ptr<ShareClient> mShareClient;
  Authenticator mKeys;
  ClaimRegistry mClaimRegistry;
  std::unique_ptr<ClaimDriver> mClaims;
  std::unique_ptr<EngineSlotFinder> mSlotFinder;
  std::unique_ptr<ModelCalls> mModels;
  std::unique_ptr<ServiceCalls> mServices;
  BriefingStore mBriefings;
  std::unique_ptr<BriefingRunner> mBriefingRunner;
  std::unique_ptr<CallerPort> mCallers;
  std::unique_ptr<AdminPort> mAdmin;
  std::vector<std::unique_ptr<Ticker>> mTickers;
  std::atomic<bool> mWoken{ false }; // share slots were received
};

} // namespace caraway

#endif
