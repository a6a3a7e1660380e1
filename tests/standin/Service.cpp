// Stand-in for a plain service that counts its runs of each request body.
#include <gflags/gflags.h>
#include <map>
#include <mutex>
#include <thread>

#include "base/JsonText.h"
#include "standin/StandIn.h"

DECLARE_string(listen);

namespace caraway {

namespace {

class Service
{
public:
  void Handle(StandInRequest& aIn, StandInResponse& aOut)
  {
    std::string path = aIn.getURI();
    std::string body(std::istreambuf_iterator<char>(aIn.stream()), {});
    std::unique_lock<std::mutex> lock(mLock);
    if (path == "/control") {
      Json::Value faults = JsonParseOrEmpty(body);
      for (const std::string& name : faults.getMemberNames()) {
        mFaults[name] = faults[name];
      }
      lock.unlock();
      StandInSend(aOut, 200, Json::Value(Json::objectValue));
      return;
    }
    if (path == "/executions") {
      Json::Value answer(Json::objectValue);
      answer["runs"] = mRuns;
      answer["saw_key"] = mReceivedKey;
      lock.unlock();
      StandInSend(aOut, 200, answer);
      return;
    }
    mReceivedKey = mReceivedKey || aIn.has("Authorization");
    mRuns[body] = mRuns[body].asInt() + 1;
    Millis delay(mFaults["delay_ms"].asInt64());
    bool loseAnswer = mFaults["lose_answers"].asInt() > 0;
    if (loseAnswer) {
      mFaults["lose_answers"] = mFaults["lose_answers"].asInt() - 1;
    }
    int padding = mFaults["padding"].asInt();
    int status = mFaults.get("status", 200).asInt(); // of answers to calls
    Json::Value answer;
    answer["ran"] = body;
    answer["count"] = mRuns[body];
    answer["path"] = path;
    lock.unlock();
    if (delay > Millis(0)) {
      std::this_thread::sleep_for(delay);
    }
    if (!loseAnswer) {
      if (padding > 0) {
        answer["padding"] = std::string(static_cast<size_t>(padding), 'x');
      }
      aOut.set("X-Request-Id", aIn.get("X-Request-Id", ""));
      StandInSend(aOut, status, answer);
    }
  }

private:
  std::mutex mLock;
  Json::Value mRuns{ Json::objectValue }; // by body
  Json::Value mFaults{ Json::objectValue };
  bool mReceivedKey = false;
};

} // namespace

int
RunService()
{
  Service service;
  HttpPort port(FLAGS_listen, StandInLimits(), [&](auto& aIn, auto& aOut) {
    service.Handle(aIn, aOut);
  });
  Json::Value addresses;
  addresses["address"] = port.Address();
  StandInServe(addresses);
  return 0;
}

} // namespace caraway
