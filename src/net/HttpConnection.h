// HttpConnection.h: serves the requests of one connection of an HttpPort.
#ifndef caraway_net_HttpConnection_h
#define caraway_net_HttpConnection_h

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include "net/HttpPort.h"
#include "net/HttpShutdown.h"
#include "net/IdleConnections.h"
#include "net/LingeringCloser.h"

namespace caraway {

// State shared by the connections of a port.
struct HttpPortState
{
  HttpPortLimits mLimits;
  HttpHandler mHandler;
  Poco::Net::HTTPServerParams::Ptr mParams;
  HttpShutdown mShutdown;
  IdleConnections mIdle;
  LingeringCloser mLinger;

  // Connections that wait for a thread.
  size_t WithoutThread() const;
};

// A connection ends only after an answer that said so, when its caller closes
// it, after its idle time, or if no request has begun: at the port's end, or
// when another connection needs its thread.
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

  bool AwaitRequest(const Session& aSession, bool aFirst, Disposition& aEnd);
  Disposition Serve(Session& aSession);
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);

  HttpPortState& mState;
  WakeEvent mWake; // by IdleConnections::Release()
};

} // namespace caraway

#endif
