// HttpPort.h: an HTTP server on one listening port, with one handler.
#ifndef caraway_net_HttpPort_h
#define caraway_net_HttpPort_h

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerDispatcher.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <json/json.h>
#include <memory>
#include <string>
#include <thread>

#include "caraway/Result.h"
#include "net/SharedRequestAccount.h"

namespace caraway {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&,
                                       Poco::Net::HTTPServerResponse&)>;

struct HttpPortLimits
{
  int mThreads = 64;      // connections served concurrently
  int mWaiting = 64;      // connections queued for a thread; more are refused
  size_t mClosing = 1024; // refused ones that are still being closed
  std::string mOverloadBody; // body of that refusal, a problem document
  Millis mIdle{ 15000 };     // longest idle time of a connection
  Millis mTransfer{ 10000 }; // longest time of a request's head
  // What requests may hold, together with those of other ports; null = no
  // limit.
  std::shared_ptr<SharedRequestAccount> mAccount;
};

struct HttpPortState;

class HttpPort
{
public:
  // aListen is ip:port; port 0 takes a free one. Throws Poco::Exception if the
  // address can't be bound: the settings are wrong, and the start must fail.
  HttpPort(const std::string& aListen,
           HttpPortLimits aLimits,
           HttpHandler aHandler);
  ~HttpPort(); // calls End() with a short time limit

  std::string Address() const; // ip:port as bound
  // Requests in flight, from their first byte to their answer's last one.
  int Busy() const;

  // Goes on serving, but every answer closes its connection.
  void Leave();
  // Limits the time of a send, on later connections too; the rest of a longer
  // one is lost.
  void LimitSendTime(Millis aTime);
  // Refuses new connections and answers the requests of the open ones.
  // Connections without an answer after aWithin are shut down.
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

// Reads the complete body. Fails with BodyTooLarge over aLimit bytes, with
// BadRequest if the body takes longer than aWithin or is cut short, and with
// QueueFull if the request was given up so that others have room.
Result<std::string>
HttpReadBody(Poco::Net::HTTPServerRequest& aRequest,
             size_t aLimit,
             Millis aWithin);

// The same, and parses it. Fails with BodyTooLarge if its values would take
// more memory than one request may have, however short their text.
Result<Json::Value>
HttpReadJson(Poco::Net::HTTPServerRequest& aRequest,
             size_t aLimit,
             Millis aWithin);

} // namespace caraway

#endif
