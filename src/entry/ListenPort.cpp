#include "entry/ListenPort.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace caraway {

namespace {

// Connections that may wait to be accepted: a burst of callers after another
// instance went. With a full queue their first packet is dropped, and sent
// again only after a second.
constexpr int kBacklog = 1024;

// Taken in one go, so that a flood of connections doesn't hold the thread.
constexpr int kAcceptAtOnce = 64;

} // namespace

ListenPort::ListenPort(Reactor& aReactor,
                       InboundHandler& aHandler,
                       size_t aMost)
  : mReactor(aReactor)
  , mHandler(aHandler)
  , mMost(aMost)
{
}

std::shared_ptr<ListenPort>
ListenPort::Open(Reactor& aReactor,
                 const std::string& aAddress,
                 InboundHandler& aHandler,
                 size_t aMost)
{
  std::shared_ptr<ListenPort> port(new ListenPort(aReactor, aHandler, aMost));
  // Two processes on one port would share its callers unseen; the second one
  // must not start.
  port->mSocket.bind(Poco::Net::SocketAddress(aAddress), true, false);
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
  AcceptSome();
}

// True when there may be more.
bool
ListenPort::AcceptSome()
{
  try {
    for (int i = 0; i < kAcceptAtOnce; ++i) {
      Poco::Net::StreamSocket socket = mSocket.acceptConnection();
      if (mConns.size() >= mMost) {
        Sweep();
      }
      if (mConns.size() < mMost) {
        mConns.push_back(InboundConnection::Start(mReactor, socket, mHandler));
      } else {
        mHandler.OnTurnedAway(mConns.size());
      }
    }
  } catch (const Poco::Exception&) {
    return false; // nothing more, or the connection is gone again
  }
  return true;
}

void
ListenPort::Close()
{
  if (mOpen) {
    mOpen = false;
    while (AcceptSome()) {
    }
    mReactor.Forget(mSocket);
    mSocket.close();
  }
}

bool
ListenPort::AllClosed() const
{
  return std::none_of(mConns.begin(), mConns.end(), [](const auto& aConn) {
    return aConn->Open();
  });
}

void
ListenPort::CloseIdle(ConnEndReason aReason, Millis aQuiet)
{
  TimePoint now = mReactor.Now();
  for (const auto& conn : mConns) {
    if (now - conn->QuietSince() >= aQuiet) {
      conn->CloseIfIdle(aReason);
    }
  }
}

void
ListenPort::RefuseUnread()
{
  for (const auto& conn : mConns) {
    conn->RefuseUnread();
  }
}

void
ListenPort::EndAll()
{
  for (const auto& conn : mConns) {
    conn->Abort(ConnEndReason::InstanceEnds);
  }
}

void
ListenPort::Sweep()
{
  TimePoint now = mReactor.Now();
  for (const auto& conn : mConns) {
    conn->CheckTimes(now);
  }
  mConns.erase(std::remove_if(mConns.begin(),
                              mConns.end(),
                              [](const auto& aConn) { return !aConn->Open(); }),
               mConns.end());
}

} // namespace caraway
