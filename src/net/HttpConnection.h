// HttpConnection.h: one caller's connection, from its first request to its end.
#ifndef caraway_net_HttpConnection_h
#define caraway_net_HttpConnection_h

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include "net/HttpPort.h"
#include "net/HttpShutdown.h"
#include "net/LingeringCloser.h"

namespace caraway {

// What the connections of a port share.
struct HttpPortState
{
  HttpPortLimits mLimits;
  HttpHandler mHandler;
  Poco::Net::HTTPServerParams::Ptr mParams;
  HttpShutdown mShutdown;
  LingeringCloser mLinger;
};

// Decides alone when a connection ends: after an answer that said so, by its
// caller, after its idle time, or at the port's end when no request has begun.
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
    Close,        // with an answer, as that said
    Disconnected, // nobody is left to answer
  };

  bool AwaitRequest(const Session& aSession, bool aFirst);
  Disposition Serve(Session& aSession);
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);

  HttpPortState& mState;
};

} // namespace caraway

#endif
