#include "entry/Peers.h"

#include <algorithm>

#include "base/JsonText.h"

namespace caraway {

// JSON-RPC 2.0 between instances. It runs on the reactor because the connectors
// of libjsonrpccpp block.

ImmediateReply
Peers::Answer(const InboundRequest& aRequest)
{
  Json::Value request = JsonParseOrEmpty(aRequest.mBody);
  Json::Value reply;
  reply["jsonrpc"] = "2.0";
  reply["id"] = request["id"];
  auto method = request["method"].isString()
                  ? mMethods.find(request["method"].asString())
                  : mMethods.end();
  if (method == mMethods.end()) {
    reply["error"]["code"] = -32601;
    reply["error"]["message"] = "no such method";
  } else {
    try {
      reply["result"] = method->second(request["params"]);
    } catch (const Json::Exception& error) {
      mState.mLog.Line("peer_call_unreadable")
        .Text("method", method->first)
        .Text("why", error.what());
      reply["error"]["code"] = -32602;
      reply["error"]["message"] = "parameters of another type";
    }
  }
  return { 200, "application/json", JsonWrite(reply) };
}

void
Peers::Call(const std::string& aPeer,
            const std::string& aMethod,
            const Json::Value& aParams,
            Millis aTimeout,
            Reply aReply)
{
  auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    aReply(false, Json::Value());
    return;
  }
  Json::Value body;
  body["jsonrpc"] = "2.0";
  body["id"] = 1; // a connection carries one call at a time
  body["method"] = aMethod;
  body["params"] = aParams;
  OutboundRequest request;
  request.mAddress = found->second.mAddress;
  request.mIdentity.mBy = AnswerIdentity::Trusted;
  request.mBody = std::make_shared<const std::string>(JsonWrite(body));
  request.mConnectLimit = std::min(aTimeout, Millis(300));
  request.mHead =
    WriteHead("POST /rpc HTTP/1.1",
              { { "Host", request.mAddress },
                { "Content-Type", "application/json" },
                { "Content-Length", std::to_string(request.mBody->size()) } });
  StartBufferedCall(
    mState.mReactor,
    mState.mPeerPool,
    std::move(request),
    aTimeout,
    [this, aMethod, aPeer, reply = std::move(aReply)](BufferedAnswer& aAnswer) {
      Json::Value answer = JsonParseOrEmpty(aAnswer.mBody);
      bool good = answer.isMember("result");
      if (!good) {
        mState.mLog.Line("peer_call_failed")
          .Text("peer", aPeer)
          .Text("method", aMethod)
          .Count("status", aAnswer.mStatus);
      }
      reply(good, answer["result"]);
    });
}

} // namespace caraway
