#include "peer/PeerClient.h"

#include <stdexcept>

#include "peer/PeerRpc.h"

namespace caraway {

PeerClient::PeerClient(std::string aSecret, std::string aFrom)
  : mSecret(std::move(aSecret))
  , mFrom(std::move(aFrom))
  , mPool(32)
{
}

Result<Json::Value>
PeerClient::Call(const std::string& aAddress,
                 const std::string& aMethod,
                 const Json::Value& aParams,
                 Millis aWithin,
                 bool aResend)
{
  PeerSend send = [&](const std::string& aRequest) {
    HttpCall call;
    call.mAddress = aAddress;
    call.mMethod = "POST";
    call.mPath = "/rpc";
    call.mTimeout = aWithin;
    call.mResend = aResend;
    call.mHeaders = { { "Authorization", "Bearer " + mSecret },
                      { "X-Caraway-From", mFrom } };
    call.mBody = aRequest;
    HttpReply reply = mPool.Call(call);
    mCounts.mBytesOut += static_cast<int64_t>(aRequest.size());
    mCounts.mBytesIn += static_cast<int64_t>(reply.mBody.size());
    if (!reply.Ok()) {
      throw std::runtime_error(reply.mError.empty()
                                 ? "status " + std::to_string(reply.mStatus)
                                 : reply.mError);
    }
    return reply.mBody;
  };
  ++mCounts.mCalls;
  try {
    return PeerRpcCall(send, aMethod, aParams);
  } catch (const std::exception& error) {
    ++mCounts.mFailures;
    return Fail(ErrorKind::NoEndpoint,
                "peer " + aAddress + " " + aMethod + ": " + error.what());
  }
}

} // namespace caraway
