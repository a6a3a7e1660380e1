// HttpPort.h: a listening port with one handler.
#ifndef caraway_net_HttpPort_h
#define caraway_net_HttpPort_h

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>

#include "caraway/Result.h"

namespace caraway {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&,
                                       Poco::Net::HTTPServerResponse&)>;

struct HttpPortLimits
{
  int mThreads = 64;         // connections served at a time
  int mWaiting = 64;         // accepted and not yet served; more: closed
  Millis mIdle{ 15000 };     // kept-alive connection without a request
  Millis mTransfer{ 10000 }; // silence in the middle of a request
};

class HttpPort
{
public:
  // aListen is ip:port; port 0 takes a free one. Throws Poco::Exception when
  // the address can't be bound: the settings are wrong, and the start fails.
  HttpPort(const std::string& aListen,
           HttpPortLimits aLimits,
           HttpHandler aHandler);
  ~HttpPort(); // cuts what is under way

  std::string Address() const; // ip:port as bound
  int Connections() const;

private:
  Poco::ThreadPool mPool;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
  std::string mAddress;
};

// The body, whole. BodyTooLarge over aLimit, BadRequest when it comes slower
// than aWithin or ends before its stated length.
Result<std::string>
HttpReadBody(Poco::Net::HTTPServerRequest& aRequest,
             size_t aLimit,
             Millis aWithin);

} // namespace caraway

#endif
