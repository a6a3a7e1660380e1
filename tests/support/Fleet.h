// Fleet.h: a small fleet of real processes and the stand-ins around it.
#ifndef caraway_tests_Fleet_h
#define caraway_tests_Fleet_h

#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/HttpCall.h"
#include "support/Child.h"

namespace caraway {

struct FleetPlan
{
  std::vector<std::string> mZones = { "mendoza-a", "uspallata-b" };
  std::vector<int> mInstances = { 2, 1 }; // per zone
  int mEngines = 1;                       // per zone
  int64_t mMemory = 100;                  // bytes per engine
  bool mFencing = true;                   // engines check fencing numbers
  int mServices = 1;                      // per zone
  bool mProxies = false;                  // proxies at platform and peer ports
  bool mServiceProxies = false;           // proxies at services
  double mRate = 100000;                  // tokens/s of tenants acme and globex
  double mBurst = 100000;
  int mModels = 4;                       // named m0…, of 40 bytes each
  int mWeightsMs = 200;                  // duration of a load at full speed
  std::vector<std::string> mEngineFlags; // additional flags for engines
  // Additional TOML lines for instances; they follow the table [platform].
  std::vector<std::string> mSettings;
};

// Tenants acme and globex with keys; profiles chat-mN (models, interactive),
// notice (m0, urgent), brief (m1, batch), order (service, not repeatable),
// status (service, repeatable).
class Fleet
{
public:
  explicit Fleet(FleetPlan aPlan);
  ~Fleet();

  // Changes the configuration by aChange through the administration port and
  // returns the new revision.
  int64_t Configure(const std::function<void(Json::Value&)>& aChange);
  // Waits until every running instance has revision aRevision or a later one.
  bool AwaitRevision(int64_t aRevision, Millis aWithin);
  Json::Value Status(size_t aInstance);
  std::string Metrics(size_t aInstance);
  double Metric(size_t aInstance, const std::string& aName);

  HttpReply Chat(size_t aInstance,
                 const std::string& aKey,
                 const std::string& aProfile,
                 int aTokens,
                 bool aStream = false);
  HttpReply OrderCall(size_t aInstance,
                      const std::string& aKey,
                      const std::string& aIdempotencyKey,
                      const std::string& aBody,
                      Millis aWithin = Seconds(20));
  HttpReply Call(const std::string& aAddress,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const Json::Value& aBody = Json::Value(Json::objectValue),
                 const std::string& aKey = "");

  // Number of runs of a body, over all services.
  int Runs(const std::string& aBody);
  Json::Value EngineState(size_t aEngine);
  // Sum over all engines of a counter such as "loads" or "overcommits".
  int EngineAudit(const char* aCount);
  void PlatformFault(const std::string& aName, const Json::Value& aValue);
  Json::Value PlatformCounters();
  void ProxyMode(Child& aProxy, const Json::Value& aMode);
  // Partitions zone aZone from the platform and the other zones, or ends the
  // partition.
  void CutZone(const std::string& aZone, bool aCut);

  std::unique_ptr<Child> StartInstance(size_t aIndex);
  // Puts the instance on the platform's instance list, or removes it if aGone.
  void Announce(size_t aIndex, bool aGone);

  FleetPlan mPlan;
  std::string mFolder;
  std::string mAdminKey;
  std::map<std::string, std::string> mKeys; // by tenant
  std::unique_ptr<Child> mPlatform;
  std::unique_ptr<Child> mStore;
  std::map<std::string, std::unique_ptr<Child>> mPlatformProxies; // by zone
  std::vector<std::unique_ptr<Child>> mPeerProxies;               // by instance
  std::vector<std::unique_ptr<Child>> mEngines;
  std::vector<std::unique_ptr<Child>> mServices;
  std::vector<std::unique_ptr<Child>> mServiceProxies;
  std::vector<std::unique_ptr<Child>> mInstances;
  std::vector<std::string> mZoneOf; // of each instance

private:
  void StartStandIns();
  Json::Value InitialConfig();
  std::string SettingsText(size_t aIndex);
};

// Polls aCondition every few milliseconds; false if it doesn't hold within
// aWithin. This only limits the wait: a test of a duration must measure it.
bool
Eventually(Millis aWithin, const std::function<bool()>& aCondition);

} // namespace caraway

#endif
