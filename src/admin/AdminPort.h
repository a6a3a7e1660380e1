// AdminPort.h: the HTTP API for operators.
#ifndef caraway_admin_AdminPort_h
#define caraway_admin_AdminPort_h

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/Metrics.h"
#include "caraway/Clock.h"
#include "net/HttpPort.h"
#include "platform/ConfigHolder.h"
#include "platform/ConfigStore.h"

namespace caraway {

struct AdminUser
{
  std::string mName;
  std::string mDigest;
};

// GET  /healthz /readyz          for balancers; no key required
// GET  /metrics                  Prometheus text format
// GET  /admin/v1/status          this instance
// GET  /admin/v1/fleet           all instances that it can reach
// GET  /admin/v1/config          revision and complete configuration
// POST /admin/v1/config          {"expected":N,"config":{…},"note":"…"}
// POST /admin/v1/check           {"config":{…}}
// GET  /admin/v1/history         revisions, newest first
// GET  /admin/v1/revisions/N     the configuration of a revision
class AdminPort
{
public:
  struct Dependencies
  {
    ConfigHolder* mConfig = nullptr;
    ConfigStore* mStore = nullptr;
    Metrics* mMetrics = nullptr;
    const Clock* mClock = nullptr;
    HttpPortLimits mLimits;
    std::function<bool()> mReady;
    std::function<Json::Value()> mStatus;
    std::function<Json::Value()> mFleet;
    std::function<std::string()> mExtraMetrics;
    std::function<void()> mChanged; // called after a change was accepted here
  };

  AdminPort(std::string aListen,
            std::vector<AdminUser> aUsers,
            Dependencies aDependencies);

  void Open();
  std::string Address() const { return mPort->Address(); }
  int InFlight() const { return mPort->Busy(); }
  void Close(Millis aWithin) { mPort->End(aWithin); }

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;
  using Action = Result<Json::Value> (AdminPort::*)(Request&,
                                                    const std::string& aUser);
  struct Route
  {
    const char* mMethod;
    const char* mPath;
    Action mAction;
  };
  static const Route kRoutes[];

  void Handle(Request& aRequest, Response& aResponse);
  bool Probe(const std::string& aPath, Response& aResponse) const;
  Result<std::string> User(const Request& aRequest) const;
  Result<Json::Value> Body(Request& aRequest);

  Result<Json::Value> Status(Request& aRequest, const std::string& aUser);
  Result<Json::Value> Fleet(Request& aRequest, const std::string& aUser);
  Result<Json::Value> Read(Request& aRequest, const std::string& aUser);
  Result<Json::Value> Change(Request& aRequest, const std::string& aUser);
  Result<Json::Value> Check(Request& aRequest, const std::string& aUser);
  Result<Json::Value> History(Request& aRequest, const std::string& aUser);
  Result<Json::Value> Revision(Request& aRequest, const std::string& aUser);

  std::string mListen;
  std::vector<AdminUser> mUsers;
  Dependencies mDependencies;
  std::unique_ptr<HttpPort> mPort;
};

} // namespace caraway

#endif
