#include "own/StoreGate.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr const char* kOwnerKey = "store-gate";
constexpr const char* kZoneOnly = "zone_only"; // JSON field of a request
constexpr Millis kRequestTimeout{ 300 };
constexpr Millis kPollAfterNoReply{ 100 };

Json::Value
RequestJson(const LoadGateRequest& aRequest)
{
  Json::Value json;
  json["id"] = aRequest.mId;
  json["class"] = RequestClassName(aRequest.mClass);
  json["inside"] = aRequest.mAlreadyAdmitted;
  return json;
}

LoadGateRequest
RequestParse(const Json::Value& aJson)
{
  LoadGateRequest request;
  request.mId = aJson["id"].asString();
  RequestClassParse(aJson["class"].asString(), request.mClass);
  request.mAlreadyAdmitted = aJson["inside"].asBool();
  return request;
}

// No gate replied. A load that was admitted stays admitted.
LoadGateReply
RetryLater(const LoadGateRequest& aRequest)
{
  return { aRequest.mAlreadyAdmitted, kPollAfterNoReply };
}

} // namespace

LoadGateParameters
StoreGateParameters(const StoreGateSettings& aSettings, int aZones)
{
  int zones = std::max(1, aSettings.mZones);
  double part = static_cast<double>(std::min(aZones, zones)) / zones;
  LoadGateParameters limits;
  limits.mMaxConcurrent =
    std::max(1, static_cast<int>(aSettings.mMaxLoads * part));
  limits.mStartsPerSecond = std::max(1.0, aSettings.mLoadRate * part);
  return limits;
}

StoreGate::StoreGate(StoreGateSettings aSettings,
                     Members& aMembers,
                     PeerClient& aPeers,
                     const Clock& aClock)
  : mSettings(aSettings)
  , mMembers(aMembers)
  , mPeers(aPeers)
  , mClock(aClock)
  , mGate(StoreGateParameters(mSettings, mSettings.mZones), aClock.Now())
{
}

LoadGateReply
StoreGate::Acquire(const LoadGateRequest& aRequest)
{
  InstanceInfo owner = mMembers.FleetOwner(kOwnerKey);
  if (owner.mId == mMembers.Self().mId) {
    return AdmitLocally(mMembers.AvailableZoneCount(), aRequest);
  }
  if (auto reply = QueryGate(owner, RequestJson(aRequest))) {
    return *reply;
  }
  // The owner may have stalled briefly, and its permits still count. Admitting
  // all loads that asked it would slow the store down for everyone. A load
  // takes seconds; retrying delays it by about half a second.
  return mMembers.IsAvailablePeer(owner.mId) ? RetryLater(aRequest)
                                             : QueryZoneGate(aRequest);
}

LoadGateReply
StoreGate::QueryZoneGate(const LoadGateRequest& aRequest)
{
  InstanceInfo owner = mMembers.Owner(kOwnerKey);
  if (owner.mId == mMembers.Self().mId) {
    return AdmitLocally(1, aRequest);
  }
  {
    std::lock_guard<std::mutex> lock(mLock);
    mZoneRequests.insert(aRequest.mId);
  }
  Json::Value request = RequestJson(aRequest);
  request[kZoneOnly] = true;
  auto reply = QueryGate(owner, request);
  return reply ? *reply : RetryLater(aRequest);
}

std::optional<LoadGateReply>
StoreGate::QueryGate(const InstanceInfo& aOwner, const Json::Value& aRequest)
{
  auto reply = Outcome([&] {
    return mPeers.Call(
      aOwner.mPeerAddress, "load.ask", aRequest, kRequestTimeout);
  });
  auto* json = std::get_if<Json::Value>(&reply);
  if (!json) {
    mMembers.RecordUnansweredCall(aOwner.mPeerAddress);
    return std::nullopt;
  }
  return LoadGateReply{ (*json)["in"].asBool(),
                        Millis((*json)["again"].asInt64()) };
}

LoadGateReply
StoreGate::AdmitLocally(int aZones, const LoadGateRequest& aRequest)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  mGate.mParameters = StoreGateParameters(mSettings, aZones);
  mGate.mStartBucket.Resize(mGate.mParameters.mStartsPerSecond,
                            mGate.mParameters.mStartsPerSecond,
                            now);
  return LoadGateAcquire(mGate, aRequest, now);
}

void
StoreGate::Release(const std::string& aId)
{
  bool askedZoneGate = false;
  {
    std::lock_guard<std::mutex> lock(mLock);
    LoadGateRelease(mGate, aId);
    askedZoneGate = mZoneRequests.erase(aId) > 0;
  }
  ReleaseAt(mMembers.FleetOwner(kOwnerKey), aId);
  if (askedZoneGate) {
    ReleaseAt(mMembers.Owner(kOwnerKey), aId);
  }
}

void
StoreGate::ReleaseAt(const InstanceInfo& aOwner, const std::string& aId)
{
  if (aOwner.mId == mMembers.Self().mId) {
    return;
  }
  Json::Value params;
  params["id"] = aId;
  Outcome([&] {
    return mPeers.Call(
      aOwner.mPeerAddress, "load.leave", params, kRequestTimeout);
  });
}

bool
StoreGate::AcquireAdapter(TimePoint aUntil)
{
  int instances = static_cast<int>(mMembers.Peers().size()) + 1;
  int part = std::max(1, mSettings.mMaxConcurrentAdapters / instances);
  std::unique_lock<std::mutex> lock(mAdapterLock);
  auto left = std::max(
    Millis(0), std::chrono::duration_cast<Millis>(aUntil - mClock.Now()));
  if (!mAdapterReleased.wait_for(
        lock, left, [&] { return mAdaptersInFlight < part; })) {
    return false;
  }
  ++mAdaptersInFlight;
  return true;
}

void
StoreGate::ReleaseAdapter()
{
  {
    std::lock_guard<std::mutex> lock(mAdapterLock);
    --mAdaptersInFlight;
  }
  mAdapterReleased.notify_one();
}

void
StoreGate::AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("load.ask", [this](const Json::Value& aParams) {
    int zones = aParams[kZoneOnly].asBool() ? 1 : mMembers.AvailableZoneCount();
    LoadGateReply reply = AdmitLocally(zones, RequestParse(aParams));
    Json::Value json;
    json["in"] = reply.mHasPermit;
    json["again"] = Json::Int64(reply.mPollAfter.count());
    return json;
  });
  aAdd("load.leave", [this](const Json::Value& aParams) {
    std::lock_guard<std::mutex> lock(mLock);
    LoadGateRelease(mGate, aParams["id"].asString());
    return Json::Value(Json::objectValue);
  });
}

} // namespace caraway
