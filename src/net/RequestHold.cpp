#include "net/RequestHold.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <cerrno>
#include <sys/socket.h>

namespace caraway {

namespace {

// A head is held as it arrived and as fields.
constexpr size_t kCopiesOfHead = 2;

class RequestSocketImpl : public Poco::Net::StreamSocketImpl
{
public:
  explicit RequestSocketImpl(poco_socket_t aDescriptor)
    : StreamSocketImpl(aDescriptor)
  {
  }

  int receiveBytes(void* aBuffer, int aLength, int aFlags) override
  {
    if (!mHold) {
      return StreamSocketImpl::receiveBytes(aBuffer, aLength, aFlags);
    }
    mHold->BeforeRead();
    // A socket that was shut down still yields what has arrived.
    int count = mHold->GivenUp()
                  ? 0
                  : StreamSocketImpl::receiveBytes(aBuffer, aLength, aFlags);
    mHold->AfterRead(count);
    return count;
  }

  RequestHold* mHold = nullptr; // set and used by the connection's thread
};

RequestSocketImpl*
ImplOf(const Poco::Net::StreamSocket& aSocket)
{
  return dynamic_cast<RequestSocketImpl*>(aSocket.impl());
}

} // namespace

RequestHold::RequestHold(const RequestHoldPort& aPort,
                         const Poco::Net::StreamSocket& aSocket,
                         SteadyTime aDeadline)
  : mPort(aPort)
  , mSocket(aSocket)
  , mDeadline(aDeadline)
{
  mId = mPort.mAccount.Add(
    mPort.mGroup, [this, descriptor = mSocket.impl()->sockfd()] {
      mGivenUp = true;
      ++mPort.mEnding;
      shutdown(descriptor, SHUT_RD); // ends a read that waits
    });
  if (auto* impl = ImplOf(mSocket)) {
    impl->mHold = this;
  }
}

RequestHold::~RequestHold()
{
  if (auto* impl = ImplOf(mSocket)) {
    impl->mHold = nullptr;
  }
  mPort.mAccount.Remove(mId);
  if (mGivenUp) {
    --mPort.mEnding;
  }
}

bool
RequestHold::Receive(size_t aBytes)
{
  mInHead = false;
  size_t held = mHeadBytes + aBytes;
  return mPort.mAccount.Set(mId, { held, held, GiveUpRule::Always });
}

bool
RequestHold::Run(size_t aBytes)
{
  mInHead = false;
  mDeadline = SteadyTime::max();
  return mPort.mAccount.Set(mId, { mHeadBytes + aBytes, 0, GiveUpRule::Never });
}

void
RequestHold::BeforeRead() const
{
  if (std::chrono::steady_clock::now() > mDeadline) {
    throw Poco::TimeoutException("the request's deadline");
  }
}

void
RequestHold::AfterRead(int aCount)
{
  mEnded = mEnded || aCount == 0;
  if (aCount <= 0) {
    return;
  }
  auto bytes = static_cast<size_t>(aCount);
  mPort.mAccount.Progress(mId, bytes);
  if (mInHead) {
    mHeadBytes += bytes * kCopiesOfHead;
    mPort.mAccount.Set(mId, { mHeadBytes, mHeadBytes, GiveUpRule::Always });
  }
}

Poco::Net::StreamSocket
AcceptRequestSocket(const Poco::Net::ServerSocket& aListener)
{
  int descriptor =
    accept4(aListener.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
  if (descriptor < 0) {
    throw Poco::IOException("accept", errno);
  }
  return Poco::Net::StreamSocket(new RequestSocketImpl(descriptor));
}

RequestHold*
HoldOf(const Poco::Net::StreamSocket& aSocket)
{
  auto* impl = ImplOf(aSocket);
  return impl ? impl->mHold : nullptr;
}

} // namespace caraway
