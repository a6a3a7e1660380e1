#include "net/HttpConnection.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>

#include "base/Log.h"

namespace caraway {

namespace {

// Accepted while the port ends: its request is on its way.
constexpr Millis kFinalRequestWait{ 100 };

// What a handler left of a body would be taken for the next request. False:
// there is more of it than is worth reading.
bool
DiscardInput(Poco::Net::HTTPServerRequest& aRequest)
{
  constexpr std::streamsize kMost = 64 * 1024;
  if (!aRequest.hasContentLength() && !aRequest.getChunkedTransferEncoding()) {
    return true;
  }
  aRequest.stream().ignore(kMost);
  return aRequest.stream().eof();
}

class Busy
{
public:
  explicit Busy(HttpShutdown& aEnding)
    : mEnding(aEnding)
  {
    mEnding.Began();
  }
  ~Busy() { mEnding.Done(); }

private:
  HttpShutdown& mEnding;
};

} // namespace

class HttpConnection::Session : public Poco::Net::HTTPServerSession
{
public:
  using HTTPServerSession::HTTPServerSession;
  bool Buffered() const { return buffered() > 0; }
};

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& aSocket,
                               HttpPortState& aParts)
  : TCPServerConnection(aSocket)
  , mParts(aParts)
{
}

HttpConnection::~HttpConnection()
{
  mParts.mEnding.Remove(socket());
}

void
HttpConnection::run()
{
  Session session(socket(), mParts.mParams);
  After after = After::Keep;
  for (bool first = true; after == After::Keep && Await(session, first);
       first = false) {
    after = Serve(session);
  }
  if (after == After::Close) {
    // Left to the session it would be closed with it.
    mParts.mLinger.Take(session.detachSocket());
  }
}

bool
HttpConnection::Await(const Session& aSession, bool aFirst)
{
  if (aSession.Buffered()) {
    return true;
  }
  HttpShutdown& ending = mParts.mEnding;
  bool came = ending.WaitForInput(
    socket(), aFirst ? mParts.mLimits.mTransfer : mParts.mLimits.mIdle);
  if (!came && ending.Ended()) {
    came = ending.WaitForInput(socket(), kFinalRequestWait);
  }
  return came;
}

HttpConnection::After
HttpConnection::Serve(Session& aSession)
{
  // The answer's last bytes go out when the response ends, before this does.
  Busy busy(mParts.mEnding);
  Poco::Net::HTTPServerResponseImpl response(aSession);
  try {
    Poco::Net::HTTPServerRequestImpl request(
      response, aSession, mParts.mParams.get());
    response.setDate(Poco::Timestamp());
    response.setVersion(request.getVersion());
    response.setKeepAlive(request.getKeepAlive() && !mParts.mEnding.Leaving());
    if (request.getExpectContinue()) {
      response.sendContinue();
    }
    Handle(request, response);
    bool keep = response.getKeepAlive() && DiscardInput(request);
    aSession.setKeepAlive(keep);
    return keep ? After::Keep : After::Close;
  } catch (const Poco::Net::NoMessageException&) {
    return After::Gone; // ended by its caller
  } catch (const Poco::Net::MessageException&) {
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    response.setKeepAlive(false);
    response.setContentLength(0);
    response.send();
    return After::Close;
  } catch (const Poco::Exception& error) {
    LogInfo("connection_lost", { { "reason", error.displayText() } });
    return After::Gone;
  }
}

void
HttpConnection::Handle(Poco::Net::HTTPServerRequest& aRequest,
                       Poco::Net::HTTPServerResponse& aResponse)
{
  try {
    mParts.mHandler(aRequest, aResponse);
  } catch (const Poco::Exception& error) {
    // The caller has gone, mostly. Its connection ends with this request.
    aResponse.setKeepAlive(false);
    LogInfo("connection_lost", { { "reason", error.displayText() } });
  } catch (const std::exception& error) {
    aResponse.setKeepAlive(false);
    LogWarn("handler_failed", { { "reason", error.what() } });
  }
}

} // namespace caraway
