#include "load/LoadRequestCalls.h"

#include <algorithm>
#include <utility>

#include "entry/LeaseLoop.h"
#include "load/LoadMessages.h"

namespace caraway {

namespace {

constexpr char kMethod[] = "want";

// The first request of a call stands in its parameters themselves, the others
// in this field, and their results in a field of the same name.
constexpr char kMoreField[] = "more";

constexpr Millis kTimeout{ 400 };

// An answer that comes late is of more use than another call.
constexpr Millis kMaxTimeout{ 1600 };

// Requests in one call. At the size of the fleet that this is designed for, it
// bounds the body to some ten kilobytes.
constexpr size_t kMaxRequests = 64;

} // namespace

LoadRequestCalls::LoadRequestCalls(Peers& aPeers,
                                   Handler aHandler,
                                   Reply aReply)
  : mPeers(aPeers)
  , mHandler(std::move(aHandler))
  , mReply(std::move(aReply))
{
}

void
LoadRequestCalls::Start()
{
  mPeers.AddMethod(
    kMethod, [this](const Json::Value& aParams) { return OnCall(aParams); });
}

Json::Value
LoadRequestCalls::OnCall(const Json::Value& aParams)
{
  std::string zone = aParams["zone"].asString();
  Json::Value result = mHandler(zone, ReadLoadRequest(aParams));
  for (const Json::Value& request : aParams[kMoreField]) {
    result[kMoreField].append(mHandler(zone, ReadLoadRequest(request)));
  }
  return result;
}

void
LoadRequestCalls::Send(const std::string& aZone, const LoadRequest& aRequest)
{
  ZoneCalls& calls = mZones[aZone];
  calls.mWaiting.push_back(aRequest);
  // The holder that is being called may be lost.
  bool sameHolder = calls.mHolder == mPeers.HolderOf(ZoneLeaseName(aZone));
  if (!calls.mCalling || !sameHolder) {
    SendWaiting(aZone);
  }
}

Millis
LoadRequestCalls::TimeoutAfter(int aTimeouts)
{
  Millis timeout = kTimeout;
  for (int i = 0; i < aTimeouts && timeout < kMaxTimeout; ++i) {
    timeout *= 2;
  }
  return std::min(timeout, kMaxTimeout);
}

void
LoadRequestCalls::SendWaiting(const std::string& aZone)
{
  ZoneCalls& calls = mZones[aZone];
  auto end =
    calls.mWaiting.begin() +
    static_cast<std::ptrdiff_t>(std::min(calls.mWaiting.size(), kMaxRequests));
  std::vector<LoadRequest> requests(calls.mWaiting.begin(), end);
  calls.mWaiting.erase(calls.mWaiting.begin(), end);
  std::string holder = mPeers.HolderOf(ZoneLeaseName(aZone));
  if (holder != calls.mHolder) {
    calls.mTimeouts = 0;
  }
  calls.mHolder = holder;
  calls.mCalling = true;
  Json::Value params = LoadRequestJson(requests.front());
  params["zone"] = aZone;
  for (size_t i = 1; i < requests.size(); ++i) {
    params[kMoreField].append(LoadRequestJson(requests[i]));
  }
  mPeers.Call(holder,
              kMethod,
              params,
              TimeoutAfter(calls.mTimeouts),
              [this, aZone, call = ++calls.mCall, requests](
                bool aGood, const Json::Value& aResult) {
                OnAnswer(aZone, call, requests, aGood, aResult);
              });
}

// An instance of a version before answers the first request only.
void
LoadRequestCalls::OnAnswer(const std::string& aZone,
                           uint64_t aCall,
                           const std::vector<LoadRequest>& aRequests,
                           bool aGood,
                           const Json::Value& aResult)
{
  mReply(aRequests.front(), aGood, aResult);
  const Json::Value& more = aResult[kMoreField];
  for (size_t i = 1; i < aRequests.size(); ++i) {
    Json::ArrayIndex at = static_cast<Json::ArrayIndex>(i - 1);
    bool answered = aGood && more.isArray() && at < more.size();
    mReply(aRequests[i], answered, answered ? more[at] : Json::Value());
  }
  ZoneCalls& calls = mZones[aZone];
  if (aCall != calls.mCall) {
    return; // another holder has been called since
  }
  calls.mTimeouts = aGood ? 0 : calls.mTimeouts + 1;
  calls.mCalling = false;
  if (!calls.mWaiting.empty()) {
    SendWaiting(aZone);
  }
}

} // namespace caraway
