// HttpExchange.h: sends a request and reads the complete answer on a session.
#ifndef caraway_net_HttpExchange_h
#define caraway_net_HttpExchange_h

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "net/HttpCall.h"

namespace caraway {

// Returns a connected socket, or an unconnected one and aError set; nothing was
// sent then.
Poco::Net::StreamSocket
HttpConnect(const HttpCall& aCall, std::string& aError);

// Returns the body's stream once the whole head has been read; throws a
// Poco::Exception if the connection ends before that, or if it isn't the head
// of an answer, which is logged with the server's address.
std::istream&
ReceiveHead(Poco::Net::HTTPClientSession& aSession,
            const std::string& aAddress,
            Poco::Net::HTTPResponse& aResponse);

// Never throws. The reply's stage is Lost or Answered.
HttpReply
HttpExchange(Poco::Net::HTTPClientSession& aSession,
             const HttpCall& aCall,
             bool aKeepAlive);

} // namespace caraway

#endif
