#include "net/HttpPort.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include "base/Log.h"

namespace caraway {

namespace {

constexpr size_t kChunk = 16 * 1024;
// Handlers are shallow; 350 nodes pay for each idle thread's stack.
constexpr int kStackBytes = 512 * 1024;

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit FunctionHandler(const HttpHandler& aHandler)
    : mHandler(aHandler)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    try {
      mHandler(aRequest, aResponse);
    } catch (const Poco::Exception& error) {
      // The caller has gone, mostly. Its connection ends with this request.
      aResponse.setKeepAlive(false);
      LogInfo("connection_lost", { { "reason", error.displayText() } });
    } catch (const std::exception& error) {
      aResponse.setKeepAlive(false);
      LogWarn("handler_failed", { { "reason", error.what() } });
    }
  }

private:
  const HttpHandler& mHandler;
};

class FunctionFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit FunctionFactory(HttpHandler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return new FunctionHandler(mHandler);
  }

private:
  HttpHandler mHandler;
};

Poco::Net::HTTPServerParams::Ptr
ServerParams(const HttpPortLimits& aLimits)
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(aLimits.mThreads);
  params->setMaxQueued(aLimits.mWaiting);
  params->setKeepAlive(true);
  params->setMaxKeepAliveRequests(0);
  params->setKeepAliveTimeout(Poco::Timespan(Micros(aLimits.mIdle).count()));
  params->setTimeout(Poco::Timespan(Micros(aLimits.mTransfer).count()));
  return params;
}

} // namespace

HttpPort::HttpPort(const std::string& aListen,
                   HttpPortLimits aLimits,
                   HttpHandler aHandler)
  : mPool(2, aLimits.mThreads, 30, kStackBytes)
{
  constexpr int kBacklog = 256;
  Poco::Net::ServerSocket socket;
  // Never shared: that this process could bind the port is taken as proof
  // that its former life is dead.
  constexpr bool kReuseAddress = true;
  constexpr bool kReusePort = false;
  socket.bind(Poco::Net::SocketAddress(aListen), kReuseAddress, kReusePort);
  socket.listen(kBacklog);
  mAddress = socket.address().toString();
  mServer = std::make_unique<Poco::Net::HTTPServer>(
    new FunctionFactory(std::move(aHandler)),
    mPool,
    socket,
    ServerParams(aLimits));
  mServer->start();
}

HttpPort::~HttpPort()
{
  mServer->stop();
  mServer->stopAll(true);
}

std::string
HttpPort::Address() const
{
  return mAddress;
}

int
HttpPort::Connections() const
{
  return mServer->currentConnections();
}

namespace {

// Reads on past the limit for a while and throws it away. Closed at once, the
// connection would be reset under a caller that is still sending, and it would
// never see why.
leaf::error_id
TooLarge(std::istream& aIn,
         size_t aLimit,
         std::chrono::steady_clock::time_point aDeadline)
{
  constexpr size_t kMostThrownAway = 16 * 1024 * 1024;
  std::string chunk(kChunk, '\0');
  for (size_t gone = 0; aIn.good() && gone < kMostThrownAway &&
                        std::chrono::steady_clock::now() < aDeadline;
       gone += chunk.size()) {
    aIn.read(&chunk[0], static_cast<std::streamsize>(chunk.size()));
  }
  return Fail(ErrorKind::BodyTooLarge,
              "limit is " + std::to_string(aLimit) + " bytes");
}

} // namespace

Result<std::string>
HttpReadBody(Poco::Net::HTTPServerRequest& aRequest,
             size_t aLimit,
             Millis aWithin)
{
  auto deadline = std::chrono::steady_clock::now() + aWithin;
  if (aRequest.hasContentLength() &&
      aRequest.getContentLength64() > static_cast<Poco::Int64>(aLimit)) {
    return TooLarge(aRequest.stream(), aLimit, deadline);
  }
  std::string body;
  std::string chunk(kChunk, '\0');
  std::istream& in = aRequest.stream();
  while (in.good()) {
    in.read(&chunk[0], static_cast<std::streamsize>(chunk.size()));
    body.append(chunk, 0, static_cast<size_t>(in.gcount()));
    if (body.size() > aLimit) {
      return TooLarge(in, aLimit, deadline);
    }
    if (std::chrono::steady_clock::now() > deadline) {
      return Fail(ErrorKind::BadRequest, "the body came too slowly");
    }
  }
  if (aRequest.hasContentLength() &&
      aRequest.getContentLength64() != static_cast<Poco::Int64>(body.size())) {
    return Fail(ErrorKind::BadRequest, "the body ended early");
  }
  return body;
}

} // namespace caraway
