#include "net/HttpConnection.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>

#include "base/Log.h"
#include "net/RequestHold.h"

namespace caraway {

namespace {

// Wait for the first request of a connection that was accepted while the port
// ends: the request is in transit.
constexpr Millis kFinalRequestWait{ 100 };

// A connection keeps its thread for this long after an answer although others
// wait for one: a request that follows at once would cross the close, and get
// no answer.
constexpr Millis kNextRequestTime{ 500 };

// The same after it was accepted, for its first request.
constexpr Millis kFirstRequestTime{ 1000 };

// Discards what the handler has not read of the body, which would be taken for
// the next request. Returns false if more is left than is worth reading.
bool
DiscardInput(Poco::Net::HTTPServerRequest& aRequest)
{
  constexpr std::streamsize kMaxDiscardedBytes = 64 * 1024;
  if (!aRequest.hasContentLength() && !aRequest.getChunkedTransferEncoding()) {
    return true;
  }
  aRequest.stream().ignore(kMaxDiscardedBytes);
  return aRequest.stream().eof();
}

class RequestInFlight
{
public:
  explicit RequestInFlight(HttpShutdown& aShutdown)
    : mShutdown(aShutdown)
  {
    mShutdown.BeginRequest();
  }
  ~RequestInFlight() { mShutdown.EndRequest(); }

private:
  HttpShutdown& mShutdown;
};

} // namespace

class HttpConnection::Session : public Poco::Net::HTTPServerSession
{
public:
  using HTTPServerSession::HTTPServerSession;
  bool Buffered() const { return buffered() > 0; }
};

size_t
HttpPortState::WithoutThread() const
{
  size_t threads = static_cast<size_t>(mLimits.mThreads);
  size_t open = mShutdown.Open();
  return open > threads ? open - threads : 0;
}

void
HttpPortState::ReleaseThreads(size_t aCount)
{
  size_t ending = mIdle.Release(aCount) + mEnding;
  if (ending < aCount) {
    mLimits.mAccount->GiveUpStanding(this, aCount - ending);
  }
}

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& aSocket,
                               HttpPortState& aState)
  : TCPServerConnection(aSocket)
  , mState(aState)
{
}

HttpConnection::~HttpConnection()
{
  mState.mShutdown.Remove(socket());
}

void
HttpConnection::run()
{
  Session session(socket(), mState.mParams);
  Disposition disposition = Disposition::Keep;
  for (bool first = true; disposition == Disposition::Keep &&
                          AwaitRequest(session, first, disposition);
       first = false) {
    disposition = Serve(session);
  }
  if (disposition == Disposition::Close) {
    // Detached, because the session would close the socket.
    mState.mLinger.Take(session.detachSocket());
  }
}

bool
HttpConnection::AwaitRequest(const Session& aSession,
                             bool aFirst,
                             Disposition& aEnd)
{
  if (aSession.Buffered()) {
    return true;
  }
  HttpShutdown& shutdown = mState.mShutdown;
  mState.mIdle.Begin(mWake, aFirst ? kFirstRequestTime : kNextRequestTime);
  bool readable = shutdown.WaitForInput(socket(),
                                        aFirst ? mState.mLimits.mTransfer
                                               : mState.mLimits.mIdle,
                                        mWake.Descriptor());
  if (mState.mIdle.End(mWake) && !readable) {
    LogInfo("idle_connection_released", { { "first", aFirst ? "yes" : "no" } });
    aEnd = Disposition::Close;
    return false;
  }
  if (!readable && shutdown.Ended()) {
    readable = shutdown.WaitForInput(socket(), kFinalRequestWait);
  }
  return readable;
}

HttpConnection::Disposition
HttpConnection::Serve(Session& aSession)
{
  // Outlives the response, whose destructor sends the last bytes of the answer.
  RequestInFlight inFlight(mState.mShutdown);
  Poco::Net::HTTPServerResponseImpl response(aSession);
  RequestHold hold({ *mState.mLimits.mAccount, &mState, mState.mEnding },
                   aSession.socket(),
                   std::chrono::steady_clock::now() + mState.mLimits.mTransfer);
  try {
    Poco::Net::HTTPServerRequestImpl request(
      response, aSession, mState.mParams.get());
    if (!hold.Run(0)) {
      return RefuseGivenUp(response);
    }
    response.setDate(Poco::Timestamp());
    response.setVersion(request.getVersion());
    // Told to its caller, the close loses no request.
    response.setKeepAlive(request.getKeepAlive() &&
                          !mState.mShutdown.Leaving() &&
                          mState.WithoutThread() == 0);
    if (request.getExpectContinue()) {
      response.sendContinue();
    }
    Handle(request, response);
    bool keep = response.getKeepAlive() && DiscardInput(request);
    aSession.setKeepAlive(keep);
    return keep ? Disposition::Keep : Disposition::Close;
  } catch (const Poco::Net::NoMessageException&) {
    return Disposition::Disconnected; // closed by the caller
  } catch (const Poco::Net::MessageException&) {
    if (hold.GivenUp()) {
      return RefuseGivenUp(response);
    }
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    response.setKeepAlive(false);
    response.setContentLength(0);
    response.send();
    return Disposition::Close;
  } catch (const Poco::Exception& error) {
    LogInfo("connection_lost", { { "reason", error.displayText() } });
    return Disposition::Disconnected;
  }
}

// The head never came whole, so the request can't have run.
HttpConnection::Disposition
HttpConnection::RefuseGivenUp(Poco::Net::HTTPServerResponse& aResponse)
{
  const std::string& body = mState.mLimits.mOverloadBody;
  aResponse.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  aResponse.setStatusAndReason(
    Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
  aResponse.setKeepAlive(false);
  aResponse.set("Retry-After", "1");
  aResponse.setContentType("application/problem+json");
  aResponse.sendBuffer(body.data(), body.size());
  return Disposition::Close;
}

void
HttpConnection::Handle(Poco::Net::HTTPServerRequest& aRequest,
                       Poco::Net::HTTPServerResponse& aResponse)
{
  try {
    mState.mHandler(aRequest, aResponse);
  } catch (const Poco::Exception& error) {
    // Usually the caller has disconnected. The connection ends with this
    // request.
    aResponse.setKeepAlive(false);
    LogInfo("connection_lost", { { "reason", error.displayText() } });
  } catch (const std::exception& error) {
    aResponse.setKeepAlive(false);
    LogWarn("handler_failed", { { "reason", error.what() } });
  }
}

} // namespace caraway
