#include "net/HttpPort.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "base/JsonText.h"
#include "base/Log.h"
#include "net/BoundedAppend.h"
#include "net/HttpConnection.h"
#include "net/RequestHold.h"
#include "net/StopNewHandshakes.h"

namespace caraway {

namespace {

constexpr size_t kChunkBytes = 16 * 1024;
// Handlers need little stack, and each of 350 nodes holds the stacks of its
// idle threads.
constexpr int kStackBytes = 512 * 1024;
// A thread becomes free for the next connection only shortly after its last one
// has ended. Without spare threads the dispatcher would drop that connection.
constexpr int kSpareThreads = 16;
// Bytes that the system keeps of a connection until they are read.
constexpr int kReceiveBufferBytes = 32 * 1024;

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
  explicit ConnectionFactory(HttpPortState& aState)
    : mState(aState)
  {
  }

  Poco::Net::TCPServerConnection* createConnection(
    const Poco::Net::StreamSocket& aSocket) override
  {
    return new HttpConnection(aSocket, mState);
  }

private:
  HttpPortState& mState;
};

Poco::Net::HTTPServerParams::Ptr
ServerParams(const HttpPortLimits& aLimits)
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(aLimits.mThreads);
  params->setMaxQueued(aLimits.mWaiting);
  // An idle thread of the pool delays the port's end by up to this time.
  constexpr Millis kThreadIdle{ 500 };
  params->setThreadIdleTime(Poco::Timespan(Micros(kThreadIdle).count()));
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
  : mState(std::make_unique<HttpPortState>(aLimits))
  , mPool(2, aLimits.mThreads + kSpareThreads, 30, kStackBytes)
{
  constexpr int kBacklog = 256;
  // Without SO_REUSEPORT: binding the port proves that the process's earlier
  // incarnation is dead.
  constexpr bool kReuseAddress = true;
  constexpr bool kReusePort = false;
  mSocket.bind(Poco::Net::SocketAddress(aListen), kReuseAddress, kReusePort);
  mSocket.setReceiveBufferSize(kReceiveBufferBytes); // of all accepted
  mSocket.listen(kBacklog);
  // A connection may be closed between poll and accept; accept must not block.
  mSocket.setBlocking(false);
  mAddress = mSocket.address().toString();
  if (!mState->mLimits.mAccount) {
    mState->mLimits.mAccount =
      std::make_shared<SharedRequestAccount>(RequestAccountLimits());
  }
  mState->mHandler = std::move(aHandler);
  mState->mParams = ServerParams(aLimits);
  mConnections = new Poco::Net::TCPServerDispatcher(
    new ConnectionFactory(*mState), mPool, mState->mParams);
  mAcceptor = std::thread([this] { Accept(); });
}

HttpPort::~HttpPort()
{
  constexpr Millis kDestructorGrace{ 300 };
  End(kDestructorGrace);
}

std::string
HttpPort::Address() const
{
  return mAddress;
}

int
HttpPort::Busy() const
{
  return mState->mShutdown.Busy();
}

void
HttpPort::Leave()
{
  mState->mShutdown.Leave();
}

void
HttpPort::LimitSendTime(Millis aTime)
{
  mState->mShutdown.LimitSendTime(aTime);
}

void
HttpPort::End(Millis aWithin)
{
  constexpr Millis kPollInterval{ 5 };
  if (!mAcceptor.joinable()) {
    return;
  }
  auto deadline = std::chrono::steady_clock::now() + aWithin;
  mState->mShutdown.End();
  mAcceptor.join();
  auto open = [this] {
    return mState->mShutdown.Open() > 0 || !mState->mLinger.Empty();
  };
  while (open() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  LogInfo("port_ended",
          { { "port", mAddress },
            { "cut", std::to_string(mState->mShutdown.Open()) } });
  mState->mShutdown.CutConnections();
  mConnections->stop();
}

void
HttpPort::Accept()
{
  constexpr Millis kPollTimeout{ 10000 };
  constexpr Millis kReleaseInterval{ 50 }; // while connections need a thread
  constexpr Millis kAcceptRetryDelay{ 20 };
  while (!mState->mShutdown.Ended()) {
    // Idle connections would hold all threads for their idle time, and
    // newcomers wait that long even for a refusal.
    size_t waiting = mState->WithoutThread();
    mState->ReleaseThreads(waiting);
    Millis within = waiting > 0 ? kReleaseInterval : kPollTimeout;
    if (mState->mShutdown.WaitForInput(mSocket, within) && !AcceptOne()) {
      std::this_thread::sleep_for(kAcceptRetryDelay);
    }
  }
  // Connections established by now are still served. Later ones are refused by
  // the system, so that their callers know that nothing was sent.
  StopNewHandshakes(mSocket);
  std::this_thread::sleep_for(kHandshakeTime);
  while (mState->mShutdown.WaitForInput(mSocket, Millis(0)) && AcceptOne()) {
  }
  mSocket.close();
}

bool
HttpPort::AcceptOne()
{
  try {
    Poco::Net::StreamSocket socket = AcceptRequestSocket(mSocket);
    socket.setBlocking(true);
    socket.setNoDelay(true);
    if (!Enqueue(socket)) {
      RejectConnection(socket);
    }
    return true;
  } catch (const Poco::Exception& error) {
    LogInfo("connection_not_accepted", { { "reason", error.displayText() } });
    return false;
  }
}

// Returns false if the queue is full or no thread can be started.
bool
HttpPort::Enqueue(const Poco::Net::StreamSocket& aSocket)
{
  if (mConnections->queuedConnections() >= mState->mLimits.mWaiting) {
    return false;
  }
  int refused = mConnections->refusedConnections();
  mState->mShutdown.Add(aSocket);
  mConnections->enqueue(aSocket);
  if (mConnections->refusedConnections() == refused) {
    return true;
  }
  mState->mShutdown.Remove(aSocket);
  return false;
}

// Never blocks: the answer fits into a new connection's send buffer.
void
HttpPort::RejectConnection(Poco::Net::StreamSocket aSocket)
{
  const std::string& body = mState->mLimits.mOverloadBody;
  std::string answer = "HTTP/1.1 503 Service Unavailable\r\n"
                       "Connection: close\r\nRetry-After: 1\r\n"
                       "Content-Type: application/problem+json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body;
  LogInfo("connection_turned_away", { { "port", mAddress } });
  aSocket.sendBytes(answer.data(), static_cast<int>(answer.size()));
  mState->mLinger.Take(aSocket);
}

namespace {

RequestHold*
RequestHoldOf(Poco::Net::HTTPServerRequest& aRequest)
{
  auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&aRequest);
  return request ? HoldOf(request->socket()) : nullptr;
}

leaf::error_id
GivenUp()
{
  return Fail(ErrorKind::QueueFull,
              "the request was given up, as others need the memory");
}

// Reads and discards input past the limit for a while. If the connection were
// closed at once, the reset would reach a caller that is still sending before
// the refusal.
leaf::error_id
TooLarge(std::istream& aIn,
         size_t aLimit,
         std::chrono::steady_clock::time_point aDeadline)
{
  constexpr size_t kMaxDiscardedBytes = 16 * 1024 * 1024;
  std::string chunk(kChunkBytes, '\0');
  for (size_t discarded = 0; aIn.good() && discarded < kMaxDiscardedBytes &&
                             std::chrono::steady_clock::now() < aDeadline;
       discarded += chunk.size()) {
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
  bool chunked = aRequest.getChunkedTransferEncoding();
  bool hasLength = aRequest.hasContentLength();
  auto length =
    static_cast<size_t>(hasLength ? aRequest.getContentLength64() : 0);
  RequestHold* hold = RequestHoldOf(aRequest);
  if (hold) {
    hold->SetDeadline(deadline);
    hold->Receive(0); // what it returns is asked for below
  }
  if (hasLength && length > aLimit) {
    return TooLarge(aRequest.stream(), aLimit, deadline);
  }
  std::string body;
  std::string chunk(kChunkBytes, '\0');
  std::istream& in = aRequest.stream();
  while (in.good()) {
    in.read(&chunk[0], static_cast<std::streamsize>(chunk.size()));
    std::string_view more(chunk.data(), static_cast<size_t>(in.gcount()));
    BoundedAppend(body, more, hasLength ? length : aLimit);
    if (hold && !hold->Receive(body.capacity())) {
      return GivenUp();
    }
    if (body.size() > aLimit) {
      return TooLarge(in, aLimit, deadline);
    }
    if (std::chrono::steady_clock::now() > deadline) {
      return Fail(ErrorKind::BadRequest,
                  "the request body did not arrive within the time limit");
    }
  }
  // An end of the connection ends a chunked body too, for the parser.
  bool cut = chunked && hold && hold->Ended();
  if (cut || (hasLength && length != body.size())) {
    return Fail(ErrorKind::BadRequest,
                "the request body is shorter than it should be");
  }
  if (hold && !hold->Run(body.capacity())) {
    return GivenUp();
  }
  return body;
}

Result<Json::Value>
HttpReadJson(Poco::Net::HTTPServerRequest& aRequest,
             size_t aLimit,
             Millis aWithin)
{
  BOOST_LEAF_AUTO(body, HttpReadBody(aRequest, aLimit, aWithin));
  size_t held = JsonMemory(body);
  if (RequestHold* hold = RequestHoldOf(aRequest)) {
    if (held > hold->MostForOne()) {
      return Fail(ErrorKind::BodyTooLarge, "it has too many JSON values");
    }
    if (!hold->Receive(held) || !hold->Run(held)) {
      return GivenUp();
    }
  }
  return JsonParse(body);
}

} // namespace caraway
