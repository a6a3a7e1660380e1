#include "ctl/AdminClient.h"

#include "base/JsonText.h"
#include "net/HttpCall.h"

namespace caraway {

namespace {

constexpr Millis kTimeout{ 10000 };
const std::string kProblemPrefix = "urn:caraway:problem:";

leaf::error_id
Refusal(const HttpReply& aReply)
{
  Json::Value json = JsonParseOrEmpty(aReply.mBody);
  std::string type = json["type"].asString();
  std::string name = type.size() > kProblemPrefix.size()
                       ? type.substr(kProblemPrefix.size())
                       : std::string("internal");
  Failure failure =
    FailureOf(ErrorKindOf(name.c_str()), json["detail"].asString());
  failure.mRetryAfter = Millis(json["retry_after_ms"].asInt64());
  return Fail(failure);
}

} // namespace

AdminClient::AdminClient(std::string aAddress, std::string aKey)
  : mAddress(std::move(aAddress))
  , mKey(std::move(aKey))
{
}

Result<Json::Value>
AdminClient::Get(const std::string& aPath)
{
  return Call("GET", aPath, "");
}

Result<Json::Value>
AdminClient::Post(const std::string& aPath, const Json::Value& aBody)
{
  return Call("POST", aPath, JsonWrite(aBody));
}

Result<Json::Value>
AdminClient::Call(const char* aMethod,
                  const std::string& aPath,
                  const std::string& aBody)
{
  HttpCall call;
  call.mAddress = mAddress;
  call.mMethod = aMethod;
  call.mPath = aPath;
  call.mBody = aBody;
  call.mTimeout = kTimeout;
  call.mHeaders = { { "Authorization", "Bearer " + mKey } };
  constexpr size_t kReplyLimit = 64 * 1024 * 1024;
  call.mReplyLimit = kReplyLimit;
  HttpReply reply = HttpCallOnce(call);
  if (reply.mStage != HttpStage::Answered) {
    return Fail(ErrorKind::NoEndpoint, mAddress + ": " + reply.mError);
  }
  if (!reply.Ok()) {
    return Refusal(reply);
  }
  return JsonParse(reply.mBody);
}

} // namespace caraway
