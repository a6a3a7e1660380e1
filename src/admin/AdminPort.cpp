#include "admin/AdminPort.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <algorithm>

#include "base/ConfigCodec.h"
#include "base/Digest.h"
#include "base/JsonText.h"
#include "base/Log.h"
#include "base/RandomId.h"
#include "serve/Problem.h"

namespace caraway {

namespace {

constexpr size_t kBodyLimit = 16 * 1024 * 1024;
constexpr Millis kBodyTimeout{ 10000 };
const std::string kBearer = "Bearer ";
const std::string kRevisions = "/admin/v1/revisions/";

std::string
FormatTime(WallTime aTime)
{
  Poco::Timestamp stamp(
    std::chrono::duration_cast<Micros>(aTime.time_since_epoch()).count());
  return Poco::DateTimeFormatter::format(stamp,
                                         Poco::DateTimeFormat::ISO8601_FORMAT);
}

} // namespace

const AdminPort::Route AdminPort::kRoutes[] = {
  { "GET", "/admin/v1/status", &AdminPort::Status },
  { "GET", "/admin/v1/fleet", &AdminPort::Fleet },
  { "GET", "/admin/v1/config", &AdminPort::Read },
  { "POST", "/admin/v1/config", &AdminPort::Change },
  { "POST", "/admin/v1/check", &AdminPort::Check },
  { "GET", "/admin/v1/history", &AdminPort::History },
};

AdminPort::AdminPort(std::string aListen,
                     std::vector<AdminUser> aUsers,
                     Dependencies aDependencies)
  : mListen(std::move(aListen))
  , mUsers(std::move(aUsers))
  , mDependencies(std::move(aDependencies))
{
}

void
AdminPort::Open()
{
  constexpr int kThreads = 8;
  constexpr int kWaiting = 16;
  HttpPortLimits limits = mDependencies.mLimits;
  limits.mThreads = kThreads;
  limits.mWaiting = std::min(limits.mWaiting, kWaiting);
  mPort = std::make_unique<HttpPort>(
    mListen, limits, [this](auto& aIn, auto& aOut) { Handle(aIn, aOut); });
}

// Answers the balancer's probes, which carry no key; discloses only yes or no.
bool
AdminPort::Probe(const std::string& aPath, Response& aResponse) const
{
  bool ready = aPath == "/readyz";
  if (!ready && aPath != "/healthz") {
    return false;
  }
  Json::Value json;
  json["ok"] = !ready || mDependencies.mReady();
  JsonSend(aResponse, json["ok"].asBool() ? 200 : 503, json);
  return true;
}

Result<std::string>
AdminPort::User(const Request& aRequest) const
{
  std::string header = aRequest.get("Authorization", "");
  if (header.compare(0, kBearer.size(), kBearer) != 0) {
    return Fail(ErrorKind::KeyMissing, "send Authorization: Bearer ADMIN-KEY");
  }
  std::string digest = DigestHex(header.substr(kBearer.size()));
  std::string name;
  for (const AdminUser& user : mUsers) {
    if (DigestEqual(user.mDigest, digest)) {
      name = user.mName;
    }
  }
  if (name.empty()) {
    return Fail(ErrorKind::KeyUnknown, "unknown administration key");
  }
  return name;
}

void
AdminPort::Handle(Request& aRequest, Response& aResponse)
{
  std::string path = aRequest.getURI();
  if (Probe(path, aResponse)) {
    return;
  }
  std::string id = RandomId();
  auto answer = Outcome([&]() -> Result<Json::Value> {
    BOOST_LEAF_AUTO(user, User(aRequest));
    if (path == "/metrics") {
      std::string text =
        mDependencies.mMetrics->Text() + mDependencies.mExtraMetrics();
      aResponse.setContentType("text/plain; version=0.0.4");
      aResponse.sendBuffer(text.data(), text.size());
      return Json::Value();
    }
    if (path.compare(0, kRevisions.size(), kRevisions) == 0) {
      return Revision(aRequest, user);
    }
    for (const Route& route : kRoutes) {
      if (path == route.mPath && aRequest.getMethod() == route.mMethod) {
        return (this->*route.mAction)(aRequest, user);
      }
    }
    return Fail(ErrorKind::NotFound, path);
  });
  if (aResponse.sent()) {
    return;
  }
  if (auto* failure = std::get_if<Failure>(&answer)) {
    aResponse.setKeepAlive(false);
    ProblemSend(aResponse, *failure, id);
    return;
  }
  JsonSend(aResponse, 200, std::get<Json::Value>(answer));
}

Result<Json::Value>
AdminPort::Body(Request& aRequest)
{
  BOOST_LEAF_AUTO(json, HttpReadJson(aRequest, kBodyLimit, kBodyTimeout));
  if (!json.isObject()) {
    return Fail(ErrorKind::BadRequest, "expected a JSON object");
  }
  return json;
}

Result<Json::Value>
AdminPort::Status(Request&, const std::string&)
{
  return mDependencies.mStatus();
}

Result<Json::Value>
AdminPort::Fleet(Request&, const std::string&)
{
  return mDependencies.mFleet();
}

// Reads from the platform and not from this instance's memory, since operators
// must edit the newest revision.
Result<Json::Value>
AdminPort::Read(Request&, const std::string&)
{
  Json::Value json;
  auto index = Outcome([&] { return mDependencies.mStore->Index(); });
  if (auto* failure = std::get_if<Failure>(&index)) {
    if (failure->mKind != ErrorKind::NotFound) {
      return Fail(*failure);
    }
    json["revision"] = 0;
    json["config"] = ConfigJson(ConfigSnapshot());
    return json;
  }
  const ConfigRevision& now = std::get<ConfigIndex>(index).mNow;
  BOOST_LEAF_AUTO(config, mDependencies.mStore->Load(now));
  json = ConfigRevisionJson(now);
  json["config"] = ConfigJson(config);
  return json;
}

Result<Json::Value>
AdminPort::Check(Request& aRequest, const std::string&)
{
  BOOST_LEAF_AUTO(body, Body(aRequest));
  BOOST_LEAF_CHECK(ConfigParse(body["config"]));
  Json::Value json;
  json["ok"] = true;
  return json;
}

Result<Json::Value>
AdminPort::Change(Request& aRequest, const std::string& aUser)
{
  BOOST_LEAF_AUTO(body, Body(aRequest));
  if (!body["expected"].isInt64()) {
    return Fail(ErrorKind::BadRequest,
                "expected: the revision that the change is based on");
  }
  if (!body["note"].isString() && !body["note"].isNull()) {
    return Fail(ErrorKind::BadRequest, "note: expected a string");
  }
  BOOST_LEAF_AUTO(config, ConfigParse(body["config"]));
  BOOST_LEAF_AUTO(
    revision,
    mDependencies.mStore->Commit(body["expected"].asInt64(),
                                 config,
                                 aUser,
                                 body["note"].asString(),
                                 FormatTime(mDependencies.mClock->WallNow())));
  LogInfo("config_accepted",
          { { "revision", std::to_string(revision.mRevision) },
            { "author", aUser },
            { "note", revision.mNote } });
  mDependencies.mChanged();
  return ConfigRevisionJson(revision);
}

Result<Json::Value>
AdminPort::History(Request&, const std::string&)
{
  BOOST_LEAF_AUTO(index, mDependencies.mStore->Index());
  return ConfigIndexJson(index);
}

Result<Json::Value>
AdminPort::Revision(Request& aRequest, const std::string&)
{
  std::string requested = aRequest.getURI().substr(kRevisions.size());
  BOOST_LEAF_AUTO(index, mDependencies.mStore->Index());
  std::vector<ConfigRevision> all = index.mHistory;
  all.push_back(index.mNow);
  for (const ConfigRevision& revision : all) {
    if (std::to_string(revision.mRevision) == requested) {
      BOOST_LEAF_AUTO(config, mDependencies.mStore->Load(revision));
      Json::Value json = ConfigRevisionJson(revision);
      json["config"] = ConfigJson(config);
      return json;
    }
  }
  return Fail(ErrorKind::NotFound,
              "revision " + requested + " isn't in the history");
}

} // namespace caraway
