// HttpPort.h: a listening port with one handler.
#ifndef caraway_net_HttpPort_h
#define caraway_net_HttpPort_h

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerDispatcher.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "caraway/Result.h"

namespace caraway {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&,
                                       Poco::Net::HTTPServerResponse&)>;

struct HttpPortLimits
{
  int mThreads = 64;         // connections served at a time
  int mWaiting = 64;         // accepted and not yet served; more: refused
  std::string mOverloadBody; // of that refusal: a problem document
  Millis mIdle{ 15000 };     // kept-alive connection without a request
  Millis mTransfer{ 10000 }; // silence in the middle of a request
};

struct HttpPortState;

class HttpPort
{
public:
  // aListen is ip:port; port 0 takes a free one. Throws Poco::Exception when
  // the address can't be bound: the settings are wrong, and the start fails.
  HttpPort(const std::string& aListen,
           HttpPortLimits aLimits,
           HttpHandler aHandler);
  ~HttpPort(); // ends, and cuts what is still under way a moment later

  std::string Address() const; // ip:port as bound
  // Requests between their first byte and their answer's last one.
  int Busy() const;

  // Serves on; each answer ends its connection.
  void Leave();
  // No send takes longer; the rest of it is lost.
  void LimitSendTime(Millis aTime);
  // Nobody connects any more. Whoever is connected gets the answer to what was
  // sent; what has none within aWithin is cut.
  void End(Millis aWithin);

private:
  using Connections = Poco::AutoPtr<Poco::Net::TCPServerDispatcher>;

  void Accept();
  bool AcceptOne();
  bool Enqueue(const Poco::Net::StreamSocket& aSocket);
  void RejectConnection(Poco::Net::StreamSocket aSocket);

  Poco::Net::ServerSocket mSocket;
  std::string mAddress;
  std::unique_ptr<HttpPortState> mState;
  Poco::ThreadPool mPool;
  Connections mConnections;
  std::thread mAcceptor;
};

// The body, whole. BodyTooLarge over aLimit, BadRequest when it comes slower
// than aWithin or ends before its stated length.
Result<std::string>
HttpReadBody(Poco::Net::HTTPServerRequest& aRequest,
             size_t aLimit,
             Millis aWithin);

} // namespace caraway

#endif
