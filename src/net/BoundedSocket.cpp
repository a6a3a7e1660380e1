#include "net/BoundedSocket.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <string>
#include <string_view>

namespace caraway {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::string_view kEndOfHead = "\r\n\r\n";

class BoundedSocketImpl : public Poco::Net::StreamSocketImpl
{
public:
  void Bound(size_t aBytes, SteadyTime aDeadline)
  {
    mLeft = aBytes;
    mDeadline = aDeadline;
  }

  void ExpectHead()
  {
    mHead.clear();
    mInHead = true;
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
    if (mInHead) {
      FollowHead(static_cast<const char*>(aBuffer), received);
    }
    return count;
  }

private:
  void FollowHead(const char* aBytes, size_t aCount)
  {
    if (aCount == 0 && !mHead.empty()) {
      throw Poco::Net::ConnectionAbortedException("inside the answer's head");
    }
    mHead.append(aBytes, aCount);
    size_t end = mHead.find(kEndOfHead);
    while (end != std::string::npos && IsInterim()) {
      mHead.erase(0, end + kEndOfHead.size());
      end = mHead.find(kEndOfHead);
    }
    mInHead = end == std::string::npos;
    if (mInHead && mHead.size() > kMaxAnswerHeadBytes) {
      throw Poco::Net::NetException("answer head exceeds the size limit");
    }
  }
  // HTTP/1.x 1xx: another head follows.
  bool IsInterim() const
  {
    constexpr size_t kStatusAt = 9;
    return mHead.size() > kStatusAt && mHead[kStatusAt] == '1';
  }

  size_t mLeft = SIZE_MAX; // bytes
  SteadyTime mDeadline = SteadyTime::max();
  std::string mHead; // read so far
  bool mInHead = false;
};

} // namespace

Poco::Net::StreamSocket
MakeBoundedSocket()
{
  return Poco::Net::StreamSocket(new BoundedSocketImpl);
}

void
ExpectAnswerHead(Poco::Net::StreamSocket& aSocket)
{
  if (auto* impl = dynamic_cast<BoundedSocketImpl*>(aSocket.impl())) {
    impl->ExpectHead();
  }
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
