// HttpExchange.h: request out, whole answer in, on a given session.
#ifndef caraway_net_HttpExchange_h
#define caraway_net_HttpExchange_h

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>

#include "net/HttpCall.h"

namespace caraway {

// Connected socket, or a null one with aError set; nothing was offered then.
Poco::Net::StreamSocket
HttpConnect(const HttpCall& aCall, std::string& aError);

// Never throws. The stage of the reply is Lost or Answered.
HttpReply
HttpExchange(Poco::Net::HTTPClientSession& aSession,
             const HttpCall& aCall,
             bool aKeepAlive);

} // namespace caraway

#endif
