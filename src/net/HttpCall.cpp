#include "net/HttpCall.h"

#include "net/HttpExchange.h"

namespace caraway {

std::string
HttpReply::Header(const std::string& aName) const
{
  auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string() : found->second;
}

HttpReply
HttpCallOnce(const HttpCall& aCall)
{
  HttpReply reply;
  Poco::Net::StreamSocket socket = HttpConnect(aCall, reply.mError);
  if (!reply.mError.empty()) {
    return reply;
  }
  try {
    Poco::Net::HTTPClientSession session(socket);
    return HttpExchange(session, aCall, false);
  } catch (const std::exception& error) {
    reply.mStage = HttpStage::Lost;
    reply.mError = error.what();
  }
  return reply;
}

} // namespace caraway
