#include "own/EngineClient.h"

#include "base/JsonText.h"
#include "base/Log.h"
#include "own/PlacementCodec.h"

namespace caraway {

namespace {

constexpr Millis kOrderTimeout{ 2000 };
constexpr Millis kReportTimeout{ 1000 };
constexpr int kHttpConflict = 409;

} // namespace

OrderOutcome
EngineClient::Order(const std::string& aAddress,
                    const char* aOrder,
                    const PlacedReplica& aReplica)
{
  Json::Value body;
  body["order"] = aOrder;
  body["name"] = aReplica.mName;
  body["version"] = aReplica.mVersion;
  body["base"] = aReplica.mBase;
  body["bytes"] = Json::Int64(aReplica.mBytes);
  body["fence"] = Json::Int64(aReplica.mFencingToken);
  HttpCall call;
  call.mAddress = aAddress;
  call.mMethod = "POST";
  call.mPath = "/orders";
  call.mTimeout = kOrderTimeout;
  call.mBody = JsonWrite(body);
  HttpReply reply = HttpCallOnce(call);
  if (reply.mStage == HttpStage::NotSent) {
    return OrderOutcome::NotSent;
  }
  if (reply.Ok()) {
    return OrderOutcome::Accepted;
  }
  if (reply.mStage == HttpStage::Answered && reply.mStatus == kHttpConflict) {
    std::string reason = JsonParseOrEmpty(reply.mBody)["reason"].asString();
    return reason == "fence" ? OrderOutcome::Outdated
                             : OrderOutcome::InsufficientMemory;
  }
  return OrderOutcome::Unanswered;
}

OrderOutcome
EngineClient::Load(const std::string& aAddress, const PlacedReplica& aReplica)
{
  return Order(aAddress, "load", aReplica);
}

OrderOutcome
EngineClient::Unload(const std::string& aAddress, const PlacedReplica& aReplica)
{
  return Order(aAddress, "unload", aReplica);
}

Result<EngineReport>
EngineClient::Report(const std::string& aAddress)
{
  HttpCall call;
  call.mAddress = aAddress;
  call.mPath = "/state";
  call.mTimeout = kReportTimeout;
  HttpReply reply = HttpCallOnce(call);
  if (!reply.Ok()) {
    return Fail(ErrorKind::NoEndpoint,
                "engine " + aAddress + " does not answer");
  }
  auto report = EngineReportParse(JsonParseOrEmpty(reply.mBody));
  if (!report) {
    LogWarn("engine_report_unreadable", { { "engine", aAddress } });
    return Fail(ErrorKind::NoEndpoint,
                "engine " + aAddress + " sends a report that can't be read");
  }
  return std::move(*report);
}

} // namespace caraway
