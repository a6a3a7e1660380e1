// HttpConnection.h: serves the requests of one connection of an HttpPort.
#ifndef caraway_net_HttpConnection_h
#define caraway_net_HttpConnection_h

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include "net/HttpPort.h"
#include "net/HttpShutdown.h"
#include "net/LingeringCloser.h"

namespace caraway {

// State shared by the connections of a port.
struct HttpPortState
{
  HttpPortLimits mLimits;
  HttpHandler mHandler;
  Poco::Net::HTTPServerParams::Ptr mParams;
  HttpShutdown mShutdown;
  LingeringCloser mLinger;
};

// A connection ends only after an answer that said so, when its caller closes
// it, after its idle time, or at the port's end if no request has begun.
class HttpConnection : public Poco::Net::TCPServerConnection
{
public:
  HttpConnection(const Poco::Net::StreamSocket& aSocket, HttpPortState& aState);
  ~HttpConnection() override;

  void run() override;

private:
  class Session;

  enum class Disposition
  {
    Keep,
    Close,        // the answer said that the connection ends
    Disconnected, // the caller has closed the connection
  };

  bool AwaitRequest(const Session& aSession, bool aFirst);
  Disposition Serve(Session& aSession);
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);

  HttpPortState& mState;
};

} // namespace caraway

#endif
