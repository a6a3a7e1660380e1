#include "own/EngineSlotRequest.h"

namespace caraway {

Json::Value
EngineSlotRequestJson(const EngineSlotRequest& aRequest)
{
  Json::Value json;
  json["model"] = aRequest.mModel;
  if (!aRequest.mAdapter.empty()) {
    json["adapter"] = aRequest.mAdapter;
  }
  json["tenant"] = aRequest.mTenant;
  json["class"] = static_cast<int>(aRequest.mClass);
  json["like"] = Json::UInt64(aRequest.mRequestDigest);
  json["tokens"] = aRequest.mTokens;
  json["start"] = Json::Int64(aRequest.mStartWithin.count());
  json["cold"] = Json::Int64(aRequest.mColdWithin.count());
  json["hold"] = Json::Int64(aRequest.mMaxHold.count());
  if (aRequest.mNoRedirect) {
    json["here"] = true;
  }
  if (!aRequest.mFailedZone.empty()) {
    json["failed"] = aRequest.mFailedZone;
    json["silent"] = aRequest.mZoneSilent;
  }
  if (aRequest.mSoftware) {
    json["software"] = *aRequest.mSoftware;
  }
  return json;
}

EngineSlotRequest
EngineSlotRequestParse(const Json::Value& aJson)
{
  EngineSlotRequest request;
  request.mModel = aJson["model"].asString();
  request.mAdapter = aJson["adapter"].asString();
  request.mTenant = aJson["tenant"].asString();
  int number = aJson["class"].asInt();
  if (number >= 0 && number < kRequestClassCount) {
    request.mClass = static_cast<RequestClass>(number);
  }
  request.mRequestDigest = aJson["like"].asUInt64();
  request.mTokens = aJson["tokens"].asDouble();
  request.mStartWithin = Millis(aJson["start"].asInt64());
  request.mColdWithin = Millis(aJson["cold"].asInt64());
  request.mMaxHold = Millis(aJson["hold"].asInt64());
  request.mNoRedirect = aJson["here"].asBool();
  request.mFailedZone = aJson["failed"].asString();
  request.mZoneSilent = aJson["silent"].asBool();
  if (aJson.isMember("software")) {
    request.mSoftware = aJson["software"].asString();
  }
  return request;
}

Json::Value
EngineSlotGrantJson(const EngineSlotGrant& aGrant)
{
  Json::Value json;
  if (aGrant.mTicket != 0) {
    json["ticket"] = Json::UInt64(aGrant.mTicket);
    return json;
  }
  if (!aGrant.mRedirectZone.empty()) {
    json["away"] = aGrant.mRedirectZone;
    return json;
  }
  json["place"] = Json::UInt64(aGrant.mEngineSlotId);
  json["endpoint"] = aGrant.mEndpoint;
  json["address"] = aGrant.mAddress;
  json["software"] = aGrant.mSoftware;
  json["cold"] = aGrant.mCold;
  json["waited"] = Json::Int64(aGrant.mWaited.count());
  return json;
}

EngineSlotGrant
EngineSlotGrantParse(const Json::Value& aJson)
{
  EngineSlotGrant grant;
  grant.mTicket = aJson["ticket"].asUInt64();
  grant.mRedirectZone = aJson["away"].asString();
  grant.mEngineSlotId = aJson["place"].asUInt64();
  grant.mEndpoint = aJson["endpoint"].asString();
  grant.mAddress = aJson["address"].asString();
  grant.mSoftware = aJson["software"].asString();
  grant.mCold = aJson["cold"].asBool();
  grant.mWaited = Millis(aJson["waited"].asInt64());
  return grant;
}

Json::Value
EngineSlotReleaseJson(const EngineSlotRelease& aRelease)
{
  Json::Value json;
  json["place"] = Json::UInt64(aRelease.mEngineSlotId);
  json["tokens"] = aRelease.mTokens;
  json["gone"] = aRelease.mModelMissing;
  json["failed"] = aRelease.mFailed;
  json["ended"] = aRelease.mEnded;
  json["served"] = aRelease.mServed;
  return json;
}

EngineSlotRelease
EngineSlotReleaseParse(const Json::Value& aJson)
{
  EngineSlotRelease release;
  release.mEngineSlotId = aJson["place"].asUInt64();
  release.mTokens = aJson["tokens"].asDouble();
  release.mModelMissing = aJson["gone"].asBool();
  release.mFailed = aJson["failed"].asBool();
  release.mEnded = aJson["ended"].asBool();
  release.mServed = aJson["served"].asBool();
  return release;
}

} // namespace caraway
