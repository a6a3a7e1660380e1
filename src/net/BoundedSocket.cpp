#include "net/BoundedSocket.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace caraway {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

class BoundedSocketImpl : public Poco::Net::StreamSocketImpl
{
public:
  void Bound(size_t aBytes, SteadyTime aDeadline)
  {
    mLeft = aBytes;
    mDeadline = aDeadline;
  }

  int receiveBytes(void* aBuffer, int aLength, int aFlags) override
  {
    if (std::chrono::steady_clock::now() > mDeadline) {
      throw Poco::TimeoutException("the answer's deadline");
    }
    int count = StreamSocketImpl::receiveBytes(aBuffer, aLength, aFlags);
    auto received = static_cast<size_t>(count > 0 ? count : 0);
    if (received > mLeft) {
      throw Poco::Net::NetException("answer exceeds the size limit");
    }
    mLeft -= received;
    return count;
  }

private:
  size_t mLeft = SIZE_MAX; // bytes
  SteadyTime mDeadline = SteadyTime::max();
};

} // namespace

Poco::Net::StreamSocket
MakeBoundedSocket()
{
  return Poco::Net::StreamSocket(new BoundedSocketImpl);
}

void
BoundAnswer(Poco::Net::StreamSocket& aSocket,
            size_t aBytes,
            SteadyTime aDeadline)
{
  if (auto* impl = dynamic_cast<BoundedSocketImpl*>(aSocket.impl())) {
    impl->Bound(aBytes, aDeadline);
  }
}

} // namespace caraway
