#include "serve/ClaimCodec.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <sstream>

namespace caraway {

namespace {

constexpr const char* kStates[] = { "claimed", "released", "answered", "lost" };

ClaimRecordState
StateOf(const std::string& aName)
{
  for (int i = 0; i < 4; ++i) {
    if (aName == kStates[i]) {
      return static_cast<ClaimRecordState>(i);
    }
  }
  // An unknown state must never lead to a second run.
  return ClaimRecordState::Lost;
}

// Bodies may hold any bytes, which JSON text can't.
std::string
Encode(const std::string& aBytes)
{
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << aBytes;
  encoder.close();
  return out.str();
}

std::string
Decode(const std::string& aText)
{
  std::istringstream in(aText);
  Poco::Base64Decoder decoder(in);
  return std::string(std::istreambuf_iterator<char>(decoder), {});
}

} // namespace

ClaimAnswer
ClaimAnswerParse(const Json::Value& aJson)
{
  ClaimAnswer answer;
  answer.mStatus = aJson["status"].asInt();
  answer.mContentType = aJson["type"].asString();
  answer.mKept = aJson["kept"].asBool();
  answer.mBody = Decode(aJson["body"].asString());
  return answer;
}

Json::Value
ClaimAnswerJson(const ClaimAnswer& aAnswer)
{
  Json::Value json;
  json["status"] = aAnswer.mStatus;
  json["type"] = aAnswer.mContentType;
  json["kept"] = aAnswer.mKept;
  json["body"] = aAnswer.mKept ? Encode(aAnswer.mBody) : std::string();
  return json;
}

ClaimRecord
ClaimParse(const Json::Value& aJson)
{
  ClaimRecord record;
  record.mState = StateOf(aJson["state"].asString());
  record.mBodyDigest = aJson["digest"].asString();
  record.mCreator = aJson["creator"].asString();
  record.mNonce = aJson["nonce"].asString();
  if (record.mState == ClaimRecordState::Answered) {
    record.mAnswer = ClaimAnswerParse(aJson["answer"]);
  }
  return record;
}

Json::Value
ClaimJson(const ClaimRecord& aRecord)
{
  Json::Value json;
  json["state"] = kStates[static_cast<int>(aRecord.mState)];
  json["digest"] = aRecord.mBodyDigest;
  json["creator"] = aRecord.mCreator;
  json["nonce"] = aRecord.mNonce;
  if (aRecord.mState == ClaimRecordState::Answered) {
    json["answer"] = ClaimAnswerJson(aRecord.mAnswer);
  }
  return json;
}

} // namespace caraway
