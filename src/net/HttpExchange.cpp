#include "net/HttpExchange.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <atomic>

#include "base/Log.h"
#include "net/BoundedSocket.h"

namespace caraway {

namespace {

constexpr size_t kChunkBytes = 16 * 1024;

// A reply's first bytes, and of all replies that are being read together what
// is beyond those: servers that send without end don't fill the memory.
constexpr size_t kUncountedBytes = 64 * 1024;
constexpr size_t kMaxKeptBytes = 32 * 1024 * 1024;

std::atomic<size_t> sKept{ 0 }; // by all threads

class KeptReply
{
public:
  ~KeptReply() { sKept -= mCounted; }
  // Returns false if all replies together are too large.
  bool Grow(size_t aBytes)
  {
    size_t counted = aBytes > kUncountedBytes ? aBytes - kUncountedBytes : 0;
    size_t more = counted - mCounted;
    mCounted = counted;
    return (sKept += more) <= kMaxKeptBytes || more == 0;
  }

private:
  size_t mCounted = 0;
};

// What chunks add to a body of the limit at most, as real senders make them.
constexpr size_t kFramingBytes = 1024 * 1024;

Poco::Timespan
Span(Millis aTime)
{
  return Poco::Timespan(Micros(aTime).count());
}

void
SendRequest(Poco::Net::HTTPClientSession& aSession,
            const HttpCall& aCall,
            bool aKeepAlive)
{
  Poco::Net::HTTPRequest request(
    aCall.mMethod, aCall.mPath, Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(aCall.mAddress);
  request.setKeepAlive(aKeepAlive);
  request.setContentLength(static_cast<std::streamsize>(aCall.mBody.size()));
  for (const auto& header : aCall.mHeaders) {
    request.set(header.first, header.second);
  }
  std::ostream& out = aSession.sendRequest(request);
  out << aCall.mBody;
  out.flush();
}

// Sets the timeouts of the socket. A session applies its own timeouts only when
// it connects, and these sessions get a connected socket; a server that never
// answers would block the caller for ever.
void
SetSocketTimeouts(Poco::Net::HTTPClientSession& aSession,
                  std::chrono::steady_clock::time_point aDeadline)
{
  auto left = std::chrono::duration_cast<Millis>(
    aDeadline - std::chrono::steady_clock::now());
  Poco::Timespan span = Span(std::max(left, Millis(1)));
  aSession.socket().setReceiveTimeout(span);
  aSession.socket().setSendTimeout(span);
}

// Returns false if the body exceeds aLimit, all replies together theirs, or the
// deadline passes.
bool
ReadBody(Poco::Net::HTTPClientSession& aSession,
         std::istream& aIn,
         size_t aLimit,
         std::chrono::steady_clock::time_point aDeadline,
         std::string& aOut)
{
  std::string chunk(kChunkBytes, '\0');
  KeptReply kept;
  while (aIn.good()) {
    SetSocketTimeouts(aSession, aDeadline);
    aIn.read(&chunk[0], static_cast<std::streamsize>(chunk.size()));
    aOut.append(chunk, 0, static_cast<size_t>(aIn.gcount()));
    if (aOut.size() > aLimit || !kept.Grow(aOut.size()) ||
        std::chrono::steady_clock::now() > aDeadline) {
      return false;
    }
  }
  return true;
}

// A connection that breaks in the middle of a body looks like the end of the
// stream. Only a stated length proves that the answer is complete.
bool
LengthMatches(const Poco::Net::HTTPResponse& aResponse, size_t aReceived)
{
  bool empty = aResponse.getStatus() == 204 || aResponse.getStatus() == 304;
  if (empty) {
    return true;
  }
  return aResponse.hasContentLength() &&
         aResponse.getContentLength64() == static_cast<Poco::Int64>(aReceived);
}

} // namespace

std::istream&
ReceiveHead(Poco::Net::HTTPClientSession& aSession,
            const std::string& aAddress,
            Poco::Net::HTTPResponse& aResponse)
{
  ExpectAnswerHead(aSession.socket());
  try {
    std::istream& in = aSession.receiveResponse(aResponse);
    // POCO's parser takes a failed read for the end of the head.
    if (const Poco::Exception* error = aSession.networkException()) {
      error->rethrow();
    }
    if (!AnswerHeadIsSound(aSession.socket())) {
      throw Poco::Net::MessageException("the answer's head", "line ends");
    }
    return in;
  } catch (const Poco::Net::MessageException& error) {
    LogWarn("answer_rejected",
            { { "address", aAddress }, { "wrong", error.message() } });
    throw;
  }
}

Poco::Net::StreamSocket
HttpConnect(const HttpCall& aCall, std::string& aError)
{
  try {
    Poco::Net::StreamSocket socket = MakeBoundedSocket();
    socket.connect(Poco::Net::SocketAddress(aCall.mAddress),
                   Span(std::min(aCall.mConnectTimeout, aCall.mTimeout)));
    socket.setNoDelay(true);
    return socket;
  } catch (const Poco::Exception& error) {
    aError = error.displayText();
  }
  return Poco::Net::StreamSocket();
}

HttpReply
HttpExchange(Poco::Net::HTTPClientSession& aSession,
             const HttpCall& aCall,
             bool aKeepAlive)
{
  HttpReply reply;
  reply.mStage = HttpStage::Lost;
  auto deadline = std::chrono::steady_clock::now() + aCall.mTimeout;
  try {
    SetSocketTimeouts(aSession, deadline);
    BoundAnswer(aSession.socket(),
                aCall.mReplyLimit + kMaxAnswerHeadBytes + kFramingBytes,
                deadline);
    SendRequest(aSession, aCall, aKeepAlive);
    SetSocketTimeouts(aSession, deadline);
    Poco::Net::HTTPResponse response;
    std::istream& in = ReceiveHead(aSession, aCall.mAddress, response);
    reply.mStatus = response.getStatus();
    for (const auto& header : response) {
      reply.mHeaders[Poco::toLower(header.first)] = header.second;
    }
    if (!ReadBody(aSession, in, aCall.mReplyLimit, deadline, reply.mBody)) {
      reply.mError = "answer exceeds the size limit or the deadline";
    } else if (!LengthMatches(response, reply.mBody.size())) {
      reply.mError = "answer incomplete, or without a Content-Length";
    } else {
      reply.mStage = HttpStage::Answered;
    }
  } catch (const Poco::Exception& error) {
    reply.mError = error.displayText();
  } catch (const std::exception& error) {
    reply.mError = error.what();
  }
  return reply;
}

} // namespace caraway
