// Stand-in for the platform: object API with versions, conditional updates and
// watches, and the instance list. POST /control sets faults.
#include <condition_variable>
#include <deque>
#include <gflags/gflags.h>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/URI.h>

#include "base/JsonText.h"
#include "standin/StandIn.h"

DECLARE_string(listen);

namespace caraway {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

struct StoredObject
{
  Json::Value mJson;     // name, version, write_id, value
  Json::Value mPrevious; // state before the last change
  SteadyTime mChanged{};
};

class Platform
{
public:
  void Handle(StandInRequest& aIn, StandInResponse& aOut)
  {
    std::string path = Poco::URI(aIn.getURI()).getPath();
    if (path.compare(0, 8, "/control") == 0) {
      Control(path, aIn, aOut);
      return;
    }
    if (!Available(aOut)) {
      return;
    }
    if (path.compare(0, 9, "/objects/") == 0) {
      std::string key = path.substr(9);
      aIn.getMethod() == "PUT" ? Put(key, aIn, aOut) : Get(key, aOut);
    } else if (path.compare(0, 7, "/watch/") == 0) {
      Watch(path.substr(7), aIn, aOut);
    } else if (path.compare(0, 6, "/list/") == 0) {
      List(path.substr(6) + "/" + StandInQuery(aIn.getURI(), "prefix", ""),
           aOut);
    } else {
      Instances(aOut);
    }
  }

private:
  // Applies outages and delays. Returns false if the request must not be
  // handled; where no answer was sent, the connection closes without one.
  bool Available(StandInResponse& aOut)
  {
    std::unique_lock<std::mutex> lock(mLock);
    Millis delay(mFaults["slow_ms"].asInt64());
    std::string outage = mFaults["outage"].asString();
    lock.unlock();
    if (outage == "hang") {
      std::this_thread::sleep_for(Seconds(5));
      return false;
    }
    if (!outage.empty()) {
      StandInSend(aOut, 503, Json::Value(Json::objectValue));
      return false;
    }
    if (delay > Millis(0)) {
      std::this_thread::sleep_for(delay);
    }
    return true;
  }

  void Control(const std::string& aPath,
               StandInRequest& aIn,
               StandInResponse& aOut)
  {
    Json::Value body = StandInBody(aIn);
    std::lock_guard<std::mutex> lock(mLock);
    Json::Value answer(Json::objectValue);
    if (aPath == "/control/counters") {
      answer = mCounters;
    } else if (aPath == "/control/instances") {
      mInstances[body["id"].asString()] = body;
      if (body["gone"].asBool()) {
        mInstances.erase(body["id"].asString());
      }
    } else {
      for (const std::string& name : body.getMemberNames()) {
        mFaults[name] = body[name];
      }
    }
    StandInSend(aOut, 200, answer);
  }

  void Count(const char* aOp) { mCounters[aOp] = mCounters[aOp].asInt64() + 1; }

  // For stale_ms after a change, reads return the state before it.
  Json::Value VisibleState(const StoredObject& aStored)
  {
    Millis stale(mFaults["stale_ms"].asInt64());
    bool isStale = std::chrono::steady_clock::now() - aStored.mChanged < stale;
    return isStale ? aStored.mPrevious : aStored.mJson;
  }

  void Get(const std::string& aKey, StandInResponse& aOut)
  {
    std::unique_lock<std::mutex> lock(mLock);
    Count("reads");
    auto found = mObjects.find(aKey);
    Json::Value visible =
      found == mObjects.end() ? Json::Value() : VisibleState(found->second);
    lock.unlock();
    StandInSend(aOut, visible.isNull() ? 404 : 200, visible);
  }

  void Put(const std::string& aKey, StandInRequest& aIn, StandInResponse& aOut)
  {
    std::string text(std::istreambuf_iterator<char>(aIn.stream()), {});
    int64_t expected = std::stoll(aIn.get("X-Expected-Version", "0"));
    std::unique_lock<std::mutex> lock(mLock);
    Count("writes");
    // By kind: the status with which writes are refused.
    int refusal =
      mFaults["refuse_writes"][aKey.substr(0, aKey.find('/'))].asInt();
    if (refusal > 0) {
      lock.unlock();
      StandInSend(aOut, refusal, Json::Value(Json::objectValue));
      return;
    }
    StoredObject& stored = mObjects[aKey];
    int64_t version = stored.mJson["version"].asInt64();
    if (version != expected) {
      Json::Value conflict;
      conflict["current"] = stored.mJson;
      lock.unlock();
      StandInSend(aOut, 409, conflict);
      return;
    }
    if (mFaults["drop_writes"].asInt() > 0) {
      // The request is lost on its way in and never takes effect.
      mFaults["drop_writes"] = mFaults["drop_writes"].asInt() - 1;
      if (version == 0) {
        mObjects.erase(aKey);
      }
      return;
    }
    stored.mPrevious = version == 0 ? Json::Value() : stored.mJson;
    stored.mJson["name"] = aKey.substr(aKey.find('/') + 1);
    stored.mJson["version"] = Json::Int64(++mVersion);
    stored.mJson["write_id"] = aIn.get("X-Write-Id", "");
    stored.mJson["value"] = JsonParseOrEmpty(text);
    stored.mChanged = std::chrono::steady_clock::now();
    Json::Value answer = stored.mJson;
    answer.removeMember("value");
    bool loseAnswer = mFaults["lose_answers"].asInt() > 0;
    if (loseAnswer) {
      mFaults["lose_answers"] = mFaults["lose_answers"].asInt() - 1;
    }
    mChanged.notify_all();
    lock.unlock();
    if (!loseAnswer) {
      StandInSend(aOut, 200, answer);
    }
  }

  void Watch(const std::string& aKey,
             StandInRequest& aIn,
             StandInResponse& aOut)
  {
    int64_t after = std::stoll(StandInQuery(aIn.getURI(), "after", "0"));
    Millis within(std::stoll(StandInQuery(aIn.getURI(), "ms", "1000")));
    std::unique_lock<std::mutex> lock(mLock);
    Count("watches");
    auto until = std::chrono::steady_clock::now() + within;
    Json::Value visible;
    for (;;) {
      auto found = mObjects.find(aKey);
      if (found != mObjects.end()) {
        visible = VisibleState(found->second);
      }
      bool changed = visible["version"].asInt64() > after;
      bool outage = !mFaults["outage"].asString().empty();
      if (changed || outage || std::chrono::steady_clock::now() >= until) {
        lock.unlock();
        if (!outage) {
          StandInSend(aOut, changed ? 200 : 204, visible);
        }
        return;
      }
      mChanged.wait_for(lock, Millis(50));
    }
  }

  void List(const std::string& aPrefix, StandInResponse& aOut)
  {
    std::unique_lock<std::mutex> lock(mLock);
    Count("lists");
    Json::Value answer;
    answer["objects"] = Json::Value(Json::arrayValue);
    for (auto entry = mObjects.lower_bound(aPrefix);
         entry != mObjects.end() &&
         entry->first.compare(0, aPrefix.size(), aPrefix) == 0;
         ++entry) {
      Json::Value visible = VisibleState(entry->second);
      if (!visible.isNull()) {
        answer["objects"].append(visible);
      }
    }
    lock.unlock();
    StandInSend(aOut, 200, answer);
  }

  void Instances(StandInResponse& aOut)
  {
    std::unique_lock<std::mutex> lock(mLock);
    Count("lists");
    Json::Value answer;
    answer["instances"] = Json::Value(Json::arrayValue);
    for (const auto& entry : mInstances) {
      answer["instances"].append(entry.second);
    }
    lock.unlock();
    StandInSend(aOut, 200, answer);
  }

  std::mutex mLock;
  std::condition_variable mChanged;
  std::map<std::string, StoredObject> mObjects;
  std::map<std::string, Json::Value> mInstances;
  Json::Value mFaults{ Json::objectValue };
  Json::Value mCounters{ Json::objectValue };
  int64_t mVersion = 0;
};

} // namespace

int
RunPlatform()
{
  Platform platform;
  HttpPort port(FLAGS_listen, StandInLimits(), [&](auto& aIn, auto& aOut) {
    platform.Handle(aIn, aOut);
  });
  Json::Value addresses;
  addresses["address"] = port.Address();
  StandInServe(addresses);
  return 0;
}

} // namespace caraway
