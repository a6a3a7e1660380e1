#include "serve/Briefing.h"

namespace caraway {

namespace {

constexpr const char* kStates[] = { "accepted", "done", "refused" };

} // namespace

const char*
BriefingStateName(BriefingState aState)
{
  return kStates[static_cast<int>(aState)];
}

Briefing
BriefingParse(const Json::Value& aJson)
{
  Briefing briefing;
  briefing.mId = aJson["id"].asString();
  for (int i = 0; i < 3; ++i) {
    if (aJson["state"].asString() == kStates[i]) {
      briefing.mState = static_cast<BriefingState>(i);
    }
  }
  briefing.mCaller.mKeyId = aJson["key_id"].asString();
  briefing.mCaller.mDigest = aJson["key_digest"].asString();
  briefing.mCaller.mTenant = aJson["tenant"].asString();
  briefing.mProfile = aJson["profile"].asString();
  briefing.mMessages = aJson["messages"];
  briefing.mMaxTokens = aJson["max_tokens"].asInt();
  briefing.mExpires = aJson["expires"].asInt64();
  briefing.mAnswer = aJson["answer"];
  return briefing;
}

Json::Value
BriefingJson(const Briefing& aBriefing)
{
  Json::Value json;
  json["id"] = aBriefing.mId;
  json["state"] = BriefingStateName(aBriefing.mState);
  json["key_id"] = aBriefing.mCaller.mKeyId;
  json["key_digest"] = aBriefing.mCaller.mDigest;
  json["tenant"] = aBriefing.mCaller.mTenant;
  json["profile"] = aBriefing.mProfile;
  json["messages"] = aBriefing.mMessages;
  json["max_tokens"] = aBriefing.mMaxTokens;
  json["expires"] = Json::Int64(aBriefing.mExpires);
  json["answer"] = aBriefing.mAnswer;
  return json;
}

} // namespace caraway
