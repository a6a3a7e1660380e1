#include "serve/Problem.h"

#include "base/JsonText.h"
#include "decide/RunProof.h"

namespace caraway {

namespace {

using Poco::Net::HTTPResponse;

void
Send(Poco::Net::HTTPServerResponse& aResponse,
     int aStatus,
     const char* aType,
     const Json::Value& aJson)
{
  std::string text = JsonWrite(aJson) + "\n";
  aResponse.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(aStatus));
  aResponse.setContentType(aType);
  aResponse.sendBuffer(text.data(), text.size());
}

void
SetProblemHeaders(Poco::Net::HTTPServerResponse& aResponse,
                  const Failure& aFailure,
                  const std::string& aRequestId)
{
  if (aFailure.mRetryAfter > Millis(0)) {
    // The header has a resolution of one second; rounded up, so that callers
    // never retry early.
    int64_t seconds = (aFailure.mRetryAfter.count() + 999) / 1000;
    aResponse.set("Retry-After", std::to_string(seconds));
  }
  if (ErrorAnswerOf(aFailure.mKind).mStatus == 401) {
    aResponse.set("WWW-Authenticate", "Bearer");
  }
  aResponse.set("X-Request-Id", aRequestId);
}

constexpr const char* kProblemType = "application/problem+json";

int
StatusOf(const Failure& aFailure)
{
  return CallerStatus(ErrorAnswerOf(aFailure.mKind).mStatus,
                      aFailure.mRun != RunState::NotRun);
}

} // namespace

Json::Value
ProblemJson(const Failure& aFailure, const std::string& aRequestId)
{
  const ErrorAnswer& answer = ErrorAnswerOf(aFailure.mKind);
  Json::Value json;
  json["type"] = "urn:caraway:problem:" + std::string(answer.mName);
  json["title"] = answer.mTitle;
  json["status"] = StatusOf(aFailure);
  json["detail"] = aFailure.mDetail;
  json["run"] = RunStateName(aFailure.mRun);
  json["request_id"] = aRequestId;
  if (aFailure.mRetryAfter > Millis(0)) {
    json["retry_after_ms"] = Json::Int64(aFailure.mRetryAfter.count());
  }
  return json;
}

void
ProblemSend(Poco::Net::HTTPServerResponse& aResponse,
            const Failure& aFailure,
            const std::string& aRequestId)
{
  SetProblemHeaders(aResponse, aFailure, aRequestId);
  Send(aResponse,
       StatusOf(aFailure),
       kProblemType,
       ProblemJson(aFailure, aRequestId));
}

void
ProblemSendNow(Poco::Net::HTTPServerResponse& aResponse,
               const Failure& aFailure,
               const std::string& aRequestId)
{
  SetProblemHeaders(aResponse, aFailure, aRequestId);
  std::string text = JsonWrite(ProblemJson(aFailure, aRequestId)) + "\n";
  aResponse.setStatusAndReason(
    static_cast<HTTPResponse::HTTPStatus>(StatusOf(aFailure)));
  aResponse.setContentType(kProblemType);
  aResponse.setContentLength64(static_cast<Poco::Int64>(text.size()));
  aResponse.send() << text << std::flush;
}

void
JsonSend(Poco::Net::HTTPServerResponse& aResponse,
         int aStatus,
         const Json::Value& aJson)
{
  Send(aResponse, aStatus, "application/json", aJson);
}

} // namespace caraway
