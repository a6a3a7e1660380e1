// HttpConnection.h: serves the requests of one connection of an HttpPort.
#ifndef caraway_net_HttpConnection_h
#define caraway_net_HttpConnection_h

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>
#include <atomic>

#include "net/HttpPort.h"
#include "net/HttpShutdown.h"
#include "net/IdleConnections.h"
#include "net/LingeringCloser.h"

namespace caraway {

// State shared by the connections of a port.
struct HttpPortState
{
  explicit HttpPortState(const HttpPortLimits& aLimits)
    : mLimits(aLimits)
    , mLinger(aLimits.mClosing)
  {
  }

  HttpPortLimits mLimits;
  HttpHandler mHandler;
  Poco::Net::HTTPServerParams::Ptr mParams;
  HttpShutdown mShutdown;
  IdleConnections mIdle;
  LingeringCloser mLinger;
  std::atomic<size_t> mEnding{ 0 }; // see RequestHoldPort

  // Connections that wait for a thread.
  size_t WithoutThread() const;
  // Ends connections that hold a thread without a request, or with one that
  // stands still before it is complete, so that aCount threads become free.
  void ReleaseThreads(size_t aCount);
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
  Disposition RefuseGivenUp(Poco::Net::HTTPServerResponse& aResponse);
  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse);

  HttpPortState& mState;
  WakeEvent mWake; // by IdleConnections::Release()
};

} // namespace caraway

#endif
