#include "support/Fleet.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

#include "base/Digest.h"
#include "base/JsonText.h"
#include "base/RandomId.h"

namespace caraway {

namespace {

constexpr Millis kStartTime{ 15000 };
constexpr Millis kPollInterval{ 10 };

std::string
TemporaryFolder()
{
  char name[] = "/tmp/caraway-fleet-XXXXXX";
  if (!mkdtemp(name)) {
    throw std::runtime_error("can't create a temporary folder");
  }
  return name;
}

Json::Value
Named(const std::string& aName)
{
  Json::Value json;
  json["name"] = aName;
  return json;
}

} // namespace

bool
Eventually(Millis aWithin, const std::function<bool()>& aCondition)
{
  auto until = std::chrono::steady_clock::now() + aWithin;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Fleet::Fleet(FleetPlan aPlan)
  : mPlan(std::move(aPlan))
  , mFolder(TemporaryFolder())
  , mAdminKey(RandomKey())
{
  StartStandIns();
  for (size_t i = 0; i < mPlan.mZones.size(); ++i) {
    mZoneOf.insert(mZoneOf.end(), mPlan.mInstances[i], mPlan.mZones[i]);
  }
  for (size_t i = 0; i < mZoneOf.size(); ++i) {
    if (mPlan.mProxies) {
      mPeerProxies.push_back(std::make_unique<Child>(
        "caraway-standin", std::vector<std::string>{ "proxy" }, "/dev/null"));
    }
    mInstances.push_back(StartInstance(i));
    Announce(i, false);
  }
  Json::Value body;
  body["expected"] = 0;
  body["config"] = InitialConfig();
  HttpReply reply = Call(mInstances[0]->Address("admin"),
                         "POST",
                         "/admin/v1/config",
                         body,
                         mAdminKey);
  if (!reply.Ok()) {
    throw std::runtime_error("first configuration: " + reply.mBody +
                             reply.mError);
  }
  if (!AwaitRevision(1, kStartTime)) {
    throw std::runtime_error("the first revision did not reach every instance");
  }
  // Waits until all instances are ready, as a balancer would, and every share
  // slot has a holder.
  bool slotsHeld = Eventually(kStartTime, [&] {
    int slots = 0;
    for (size_t i = 0; i < mInstances.size(); ++i) {
      Json::Value status = Status(i);
      // Each instance must hold slots: at first the first instance knows no
      // other one and holds all of them, which must not count.
      if (!status["ready"].asBool() || !status["share_settled"].asBool() ||
          (mZoneOf.size() <= 16 && status["share_slots"].asInt() == 0)) {
        return false;
      }
      slots += status["share_slots"].asInt();
    }
    return slots == 16 * static_cast<int>(mPlan.mZones.size());
  });
  if (!slotsHeld) {
    throw std::runtime_error("not all share slots are held; see " + mFolder);
  }
  // Until all instances know each other, two of them may act as the owner of
  // the same key. Tests of a fleet that is still forming start instances
  // themselves.
  bool allKnown = Eventually(kStartTime, [&] {
    for (size_t i = 0; i < mInstances.size(); ++i) {
      if (Status(i)["fit_instances"].asUInt64() != mInstances.size()) {
        return false;
      }
    }
    return true;
  });
  if (!allKnown) {
    throw std::runtime_error("not all instances know each other; see " +
                             mFolder);
  }
}

Fleet::~Fleet()
{
  // Logs are kept only on request.
  if (!std::getenv("CARAWAY_KEEP_LOGS")) {
    mInstances.clear();
    std::string command = "rm -rf " + mFolder;
    if (std::system(command.c_str()) != 0) {
      std::fprintf(stderr, "left %s\n", mFolder.c_str());
    }
  }
}

void
Fleet::StartStandIns()
{
  auto start = [&](std::vector<std::string> aArguments) {
    return std::make_unique<Child>(
      "caraway-standin", aArguments, mFolder + "/standins.log");
  };
  mPlatform = start({ "platform" });
  mStore =
    start({ "store", "--weights_ms=" + std::to_string(mPlan.mWeightsMs) });
  for (const std::string& zone : mPlan.mZones) {
    if (mPlan.mProxies) {
      mPlatformProxies[zone] =
        start({ "proxy", "--target=" + mPlatform->Address() });
    }
    for (int i = 0; i < mPlan.mEngines; ++i) {
      std::vector<std::string> arguments = {
        "engine",
        "--memory=" + std::to_string(mPlan.mMemory),
        "--store=" + mStore->Address(),
        std::string("--checks_fencing=") + (mPlan.mFencing ? "true" : "false")
      };
      arguments.insert(
        arguments.end(), mPlan.mEngineFlags.begin(), mPlan.mEngineFlags.end());
      mEngines.push_back(start(arguments));
    }
    for (int i = 0; i < mPlan.mServices; ++i) {
      mServices.push_back(start({ "service" }));
      if (mPlan.mServiceProxies) {
        mServiceProxies.push_back(
          start({ "proxy", "--target=" + mServices.back()->Address() }));
      }
    }
  }
}

Json::Value
Fleet::InitialConfig()
{
  Json::Value config;
  for (const char* name : { "acme", "globex" }) {
    Json::Value tenant = Named(name);
    tenant["rate"] = mPlan.mRate;
    tenant["burst"] = mPlan.mBurst;
    config["tenants"].append(tenant);
    mKeys[name] = RandomKey();
    Json::Value key;
    key["id"] = std::string("key-") + name;
    key["tenant"] = name;
    key["digest"] = DigestHex(mKeys[name]);
    config["keys"].append(key);
  }
  for (int i = 0; i < mPlan.mModels; ++i) {
    std::string number = std::to_string(i);
    Json::Value model = Named("m" + number);
    model["version"] = "1";
    model["bytes"] = 40;
    config["models"].append(model);
    Json::Value profile = Named("chat-m" + number);
    profile["model"] = "m" + number;
    profile["max_tokens"] = 200;
    config["profiles"].append(profile);
  }
  Json::Value notice = Named("notice");
  notice["model"] = "m0";
  notice["class"] = "urgent";
  config["profiles"].append(notice);
  Json::Value brief = Named("brief");
  brief["model"] = "m1";
  brief["class"] = "batch";
  config["profiles"].append(brief);
  for (const char* name : { "order", "status" }) {
    Json::Value profile = Named(name);
    profile["service"] = "paso-api";
    profile["class"] = "urgent";
    profile["repeatable"] = std::string(name) == "status";
    profile["answer_ms"] = 5000;
    config["profiles"].append(profile);
  }
  for (size_t z = 0; z < mPlan.mZones.size(); ++z) {
    for (int i = 0; i < mPlan.mEngines; ++i) {
      Json::Value engine = Named("llm-" + mPlan.mZones[z] + std::to_string(i));
      engine["zone"] = mPlan.mZones[z];
      engine["group"] = "nieve-llm";
      engine["kind"] = "engine";
      engine["address"] =
        mEngines[z * static_cast<size_t>(mPlan.mEngines) + i]->Address();
      engine["memory"] = Json::Int64(mPlan.mMemory);
      engine["checks_fencing"] = mPlan.mFencing;
      config["endpoints"].append(engine);
    }
    for (int i = 0; i < mPlan.mServices; ++i) {
      size_t at = z * static_cast<size_t>(mPlan.mServices) + i;
      Json::Value service = Named("api-" + mPlan.mZones[z] + std::to_string(i));
      service["zone"] = mPlan.mZones[z];
      service["group"] = "paso-api";
      service["kind"] = "service";
      service["address"] = mPlan.mServiceProxies
                             ? mServiceProxies[at]->Address()
                             : mServices[at]->Address();
      config["endpoints"].append(service);
    }
  }
  return config;
}

std::string
Fleet::SettingsText(size_t aIndex)
{
  const std::string& zone = mZoneOf[aIndex];
  std::string platform =
    mPlan.mProxies ? mPlatformProxies[zone]->Address() : mPlatform->Address();
  std::ostringstream text;
  text << "[instance]\nid = \"i" << aIndex << "\"\nzone = \"" << zone
       << "\"\nzones = [";
  for (const std::string& name : mPlan.mZones) {
    text << "\"" << name << "\", ";
  }
  text << "]\n[caller]\nlisten = \"127.0.0.1:0\"\n"
       << "[admin]\nlisten = \"127.0.0.1:0\"\nkeys = { ana = \""
       << DigestHex(mAdminKey) << "\" }\n"
       << "[peer]\nlisten = \"127.0.0.1:0\"\nsecret = "
       << "\"0123456789abcdef\"\n";
  text << "seeds = [";
  for (size_t i = 0; i < mInstances.size(); ++i) {
    if (i != aIndex && mInstances[i] && mInstances[i]->Running()) {
      text << "\"" << mInstances[i]->Address("peer") << "\", ";
    }
  }
  text << "]\n";
  if (mPlan.mProxies) {
    text << "advertise = \"" << mPeerProxies[aIndex]->Address() << "\"\n";
  }
  text << "[platform]\naddress = \"" << platform << "\"\n";
  for (const std::string& line : mPlan.mSettings) {
    text << line << "\n";
  }
  return text.str();
}

std::unique_ptr<Child>
Fleet::StartInstance(size_t aIndex)
{
  std::string stem = mFolder + "/i" + std::to_string(aIndex);
  std::ofstream(stem + ".toml") << SettingsText(aIndex);
  auto child = std::make_unique<Child>(
    "carawayd",
    std::vector<std::string>{ "--config", stem + ".toml" },
    stem + ".log");
  if (mPlan.mProxies) {
    // The instance reports the proxy's address; its own bound address is in
    // "peer_bound".
    Json::Value mode;
    mode["mode"] = "pass";
    mode["target"] = child->Address("peer_bound");
    ProxyMode(*mPeerProxies[aIndex], mode);
  }
  return child;
}

void
Fleet::Announce(size_t aIndex, bool aGone)
{
  Json::Value info;
  info["id"] = "i" + std::to_string(aIndex);
  info["zone"] = mZoneOf[aIndex];
  info["peer"] = mInstances[aIndex]->Address("peer");
  info["gone"] = aGone;
  Call(mPlatform->Address(), "POST", "/control/instances", info);
}

HttpReply
Fleet::Call(const std::string& aAddress,
            const std::string& aMethod,
            const std::string& aPath,
            const Json::Value& aBody,
            const std::string& aKey)
{
  HttpCall call;
  call.mAddress = aAddress;
  call.mMethod = aMethod;
  call.mPath = aPath;
  call.mTimeout = Seconds(40);
  if (aMethod != "GET") {
    call.mBody = JsonWrite(aBody);
  }
  if (!aKey.empty()) {
    call.mHeaders.emplace_back("Authorization", "Bearer " + aKey);
  }
  return HttpCallOnce(call);
}

int64_t
Fleet::Configure(const std::function<void(Json::Value&)>& aChange)
{
  std::string admin = mInstances[0]->Address("admin");
  HttpReply read = Call(admin, "GET", "/admin/v1/config", {}, mAdminKey);
  Json::Value json = JsonParseOrEmpty(read.mBody);
  Json::Value body;
  body["expected"] = json["revision"];
  body["config"] = json["config"];
  aChange(body["config"]);
  HttpReply reply = Call(admin, "POST", "/admin/v1/config", body, mAdminKey);
  if (!reply.Ok()) {
    throw std::runtime_error("configuration refused: " + reply.mBody +
                             reply.mError);
  }
  return JsonParseOrEmpty(reply.mBody)["revision"].asInt64();
}

bool
Fleet::AwaitRevision(int64_t aRevision, Millis aWithin)
{
  return Eventually(aWithin, [&] {
    for (size_t i = 0; i < mInstances.size(); ++i) {
      if (mInstances[i]->Running() &&
          Status(i)["revision"].asInt64() < aRevision) {
        return false;
      }
    }
    return true;
  });
}

Json::Value
Fleet::Status(size_t aInstance)
{
  HttpReply reply = Call(mInstances[aInstance]->Address("admin"),
                         "GET",
                         "/admin/v1/status",
                         {},
                         mAdminKey);
  return JsonParseOrEmpty(reply.mBody);
}

std::string
Fleet::Metrics(size_t aInstance)
{
  return Call(mInstances[aInstance]->Address("admin"),
              "GET",
              "/metrics",
              {},
              mAdminKey)
    .mBody;
}

double
Fleet::Metric(size_t aInstance, const std::string& aName)
{
  std::string text = "\n" + Metrics(aInstance);
  size_t at = text.find("\n" + aName + " ");
  return at == std::string::npos
           ? 0
           : std::atof(text.c_str() + at + aName.size() + 2);
}

HttpReply
Fleet::Chat(size_t aInstance,
            const std::string& aKey,
            const std::string& aProfile,
            int aTokens,
            bool aStream)
{
  Json::Value body;
  body["model"] = aProfile;
  body["max_tokens"] = aTokens;
  body["stream"] = aStream;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = "is the pass open?";
  HttpCall call;
  call.mAddress = mInstances[aInstance]->Address("caller");
  call.mMethod = "POST";
  call.mPath = "/v1/chat/completions";
  call.mBody = JsonWrite(body);
  call.mTimeout = Seconds(60);
  call.mHeaders = { { "Authorization", "Bearer " + aKey } };
  return HttpCallOnce(call);
}

HttpReply
Fleet::OrderCall(size_t aInstance,
                 const std::string& aKey,
                 const std::string& aIdempotencyKey,
                 const std::string& aBody,
                 Millis aWithin)
{
  HttpCall call;
  call.mAddress = mInstances[aInstance]->Address("caller");
  call.mMethod = "POST";
  call.mPath = "/v1/services/order/closures";
  call.mBody = aBody;
  call.mTimeout = aWithin;
  call.mHeaders = { { "Authorization", "Bearer " + aKey },
                    { "Idempotency-Key", aIdempotencyKey } };
  return HttpCallOnce(call);
}

int
Fleet::Runs(const std::string& aBody)
{
  int runs = 0;
  for (const auto& service : mServices) {
    HttpReply reply = Call(service->Address(), "GET", "/executions");
    runs += JsonParseOrEmpty(reply.mBody)["runs"][aBody].asInt();
  }
  return runs;
}

Json::Value
Fleet::EngineState(size_t aEngine)
{
  return JsonParseOrEmpty(
    Call(mEngines[aEngine]->Address(), "GET", "/state").mBody);
}

int
Fleet::EngineAudit(const char* aCount)
{
  int sum = 0;
  for (size_t i = 0; i < mEngines.size(); ++i) {
    sum += EngineState(i)["audit"][aCount].asInt();
  }
  return sum;
}

void
Fleet::PlatformFault(const std::string& aName, const Json::Value& aValue)
{
  Json::Value body;
  body[aName] = aValue;
  Call(mPlatform->Address(), "POST", "/control", body);
}

Json::Value
Fleet::PlatformCounters()
{
  return JsonParseOrEmpty(
    Call(mPlatform->Address(), "GET", "/control/counters").mBody);
}

void
Fleet::ProxyMode(Child& aProxy, const Json::Value& aMode)
{
  Call(aProxy.Address("control"), "POST", "/mode", aMode);
}

void
Fleet::CutZone(const std::string& aZone, bool aCut)
{
  Json::Value mode;
  mode["mode"] = aCut ? "cut" : "pass";
  ProxyMode(*mPlatformProxies[aZone], mode);
  for (size_t i = 0; i < mPeerProxies.size(); ++i) {
    Json::Value mode;
    mode["mode"] = "pass";
    mode["cut_from"] = Json::Value(Json::arrayValue);
    for (const std::string& zone : mPlan.mZones) {
      bool crosses = (zone == aZone) != (mZoneOf[i] == aZone);
      if (aCut && crosses) {
        mode["cut_from"].append(zone);
      }
    }
    ProxyMode(*mPeerProxies[i], mode);
  }
}

} // namespace caraway
