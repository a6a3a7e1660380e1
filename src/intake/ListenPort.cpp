#include "intake/ListenPort.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <cerrno>

#include "net/StopNewHandshakes.h"

namespace caraway {

namespace {

// Length of the accept queue, enough for the burst of callers that reconnect
// after another instance has gone. A SYN that finds the queue full is dropped,
// and TCP retransmits it only after a second.
constexpr int kBacklog = 1024;

// Connections accepted per pass of the event loop, so that a flood of them
// doesn't block the thread.
constexpr int kAcceptBatch = 64;

// Bytes that the system keeps of a connection until they are read. They count
// as the instance's memory.
constexpr int kReceiveBufferBytes = static_cast<int>(kUnreadBytes);

// Connections beyond the limit that are still being closed, as a part of it.
constexpr size_t kClosingPart = 8;

// At the limit, connections are swept at most so often.
constexpr Millis kSweepPause{ 100 };

// How long no connection is accepted once no descriptor was left. The listening
// socket stays readable, and the loop would spin.
constexpr Millis kAcceptPause{ 50 };

// Of the connections that were open then, this part may stay: calls to servers
// need descriptors too.
constexpr double kKeptPart = 0.75;

// So many may stay all the same, or the readiness port would refuse its probes
// because callers took the descriptors.
constexpr size_t kLeastOpen = 8;

bool
OutOfDescriptors(const Poco::Exception& aError)
{
  int code = aError.code();
  return code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM;
}

} // namespace

ListenPort::ListenPort(Reactor& aReactor,
                       RequestAccount& aAccount,
                       InboundHandler& aHandler,
                       size_t aMaxOpen)
  : mReactor(aReactor)
  , mAccount(aAccount)
  , mHandler(aHandler)
  , mMaxOpen(aMaxOpen)
  , mOpenLimit(aMaxOpen)
{
}

std::shared_ptr<ListenPort>
ListenPort::Open(Reactor& aReactor,
                 RequestAccount& aAccount,
                 const std::string& aAddress,
                 InboundHandler& aHandler,
                 size_t aMaxOpen)
{
  std::shared_ptr<ListenPort> port(
    new ListenPort(aReactor, aAccount, aHandler, aMaxOpen));
  // Without SO_REUSEPORT: a second process on the same port must fail to start
  // instead of taking a share of the callers unnoticed.
  port->mSocket.bind(Poco::Net::SocketAddress(aAddress), true, false);
  port->mSocket.setReceiveBufferSize(kReceiveBufferBytes); // of all accepted
  port->mSocket.listen(kBacklog);
  port->mSocket.setBlocking(false);
  aReactor.Watch(port->mSocket, port);
  return port;
}

std::string
ListenPort::Address() const
{
  return mSocket.address().toString();
}

void
ListenPort::OnReadable()
{
  AcceptBatch();
}

// Returns whether more connections may be waiting.
bool
ListenPort::AcceptBatch()
{
  try {
    for (int i = 0; i < kAcceptBatch; ++i) {
      Accept(mSocket.acceptConnection());
    }
  } catch (const Poco::Exception& error) {
    if (OutOfDescriptors(error)) {
      PauseAccepting();
    }
    return false; // none left, or the connection was closed again
  }
  return true;
}

void
ListenPort::Accept(const Poco::Net::StreamSocket& aSocket)
{
  if (mConns.size() < mOpenLimit || MakeRoom()) {
    mConns.push_back(
      InboundConnection::Start(mReactor, mAccount, aSocket, mHandler));
    return;
  }
  ++mTurnedAway;
  mHandler.OnConnectionRejected(mConns.size());
}

// Returns whether one more connection may be accepted at the limit.
bool
ListenPort::MakeRoom()
{
  if (mReactor.Now() - mSweptAt >= kSweepPause) {
    Sweep();
  }
  if (mConns.size() < mOpenLimit) {
    return true;
  }
  // A connection that was refused is open until its answer has been sent.
  bool mayExceed = mConns.size() < mOpenLimit + mOpenLimit / kClosingPart;
  return mayExceed && ReplaceStanding();
}

// Ends the connection that has stood still the longest, without a request that
// runs. Returns false if there is none.
bool
ListenPort::ReplaceStanding()
{
  std::shared_ptr<InboundConnection> longest;
  for (const auto& conn : mConns) {
    bool still = conn->StandsStill();
    if (still && (!longest || conn->LastAnswerAt() < longest->LastAnswerAt())) {
      longest = conn;
    }
  }
  if (longest) {
    longest->GiveUpPlace();
  }
  return longest != nullptr;
}

// The process may have fewer descriptors than its settings say.
void
ListenPort::PauseAccepting()
{
  auto kept =
    static_cast<size_t>(static_cast<double>(mConns.size()) * kKeptPart);
  mOpenLimit = std::min(mOpenLimit, std::max(kept, kLeastOpen));
  for (size_t open = mConns.size(); open > mOpenLimit; --open) {
    if (!ReplaceStanding()) {
      break;
    }
  }
  if (mPaused) {
    return;
  }
  mPaused = true;
  mReactor.SetInterest(mSocket, false, false);
  std::weak_ptr<ListenPort> weak = weak_from_this();
  mReactor.After(kAcceptPause, [weak] {
    auto port = weak.lock();
    if (port && port->mState != State::Closed) {
      port->mPaused = false;
      port->mReactor.SetInterest(port->mSocket, true, false);
    }
  });
}

void
ListenPort::Close()
{
  if (mState != State::Open) {
    return;
  }
  mState = State::Closing;
  StopNewHandshakes(mSocket);
  std::weak_ptr<ListenPort> weak = weak_from_this();
  mReactor.After(kHandshakeTime, [weak] {
    if (auto port = weak.lock()) {
      port->AcceptLast();
    }
  });
}

// Those who have connected may have sent a request already.
void
ListenPort::AcceptLast()
{
  while (AcceptBatch()) {
  }
  mReactor.Unwatch(mSocket);
  mSocket.close();
  mState = State::Closed;
}

bool
ListenPort::AllClosed() const
{
  return mState == State::Closed &&
         std::none_of(mConns.begin(), mConns.end(), [](const auto& aConn) {
           return aConn->Open();
         });
}

void
ListenPort::CloseIdle(ConnectionCloseReason aReason, Millis aIdleTime)
{
  TimePoint now = mReactor.Now();
  for (const auto& conn : mConns) {
    if (now - conn->LastAnswerAt() >= aIdleTime) {
      conn->CloseIfIdle(aReason);
    }
  }
}

void
ListenPort::CloseUsedIdle(ConnectionCloseReason aReason, Millis aIdleTime)
{
  TimePoint now = mReactor.Now();
  for (const auto& conn : mConns) {
    if (conn->Requests() > 0 && now - conn->LastAnswerAt() >= aIdleTime) {
      conn->CloseIfIdle(aReason);
    }
  }
}

void
ListenPort::RejectPartialRequests()
{
  for (const auto& conn : mConns) {
    conn->RejectPartialRequest();
  }
}

void
ListenPort::EndAll()
{
  for (const auto& conn : mConns) {
    conn->Abort(ConnectionCloseReason::InstanceExit);
  }
}

void
ListenPort::Sweep()
{
  TimePoint now = mReactor.Now();
  mSweptAt = now;
  mOpenLimit += mOpenLimit < mMaxOpen ? 1 : 0;
  for (const auto& conn : mConns) {
    conn->EnforceTimeouts(now);
    conn->CountUnread();
  }
  mConns.erase(std::remove_if(mConns.begin(),
                              mConns.end(),
                              [](const auto& aConn) { return !aConn->Open(); }),
               mConns.end());
}

} // namespace caraway
