#include "ctl/InstanceCall.h"

#include "base/JsonText.h"
#include "net/HttpCall.h"

namespace caraway {

Result<Json::Value>
CallInstance(const std::string& aAddress,
             const char* aMethod,
             const Json::Value& aParams)
{
  Json::Value body;
  body["jsonrpc"] = "2.0";
  body["id"] = 1;
  body["method"] = aMethod;
  body["params"] = aParams;
  HttpCall call;
  call.mAddress = aAddress;
  call.mMethod = "POST";
  call.mPath = "/rpc";
  call.mHeaders = { { "Content-Type", "application/json" } };
  call.mBody = JsonWrite(body);
  HttpReply reply = HttpCallOnce(call);
  Json::Value answer = JsonParseOrEmpty(reply.mBody);
  if (!reply.Ok() || !answer.isMember("result")) {
    return Fail(ErrorKind::NoEndpoint, aAddress + " " + reply.mError);
  }
  return answer["result"];
}

} // namespace caraway
