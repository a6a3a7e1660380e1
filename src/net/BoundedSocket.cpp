#include "net/BoundedSocket.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <string>

#include "net/HttpHead.h"

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

  void ExpectHead()
  {
    mHead.clear();
    mInHead = true;
  }

  bool InHead() const { return mInHead; }

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
    HttpHead head;
    size_t used = 0;
    HeadState state = ReadAnswerHead(mHead, head, used);
    while (state == HeadState::Complete && IsInterim(head)) {
      mHead.erase(0, used);
      state = ReadAnswerHead(mHead, head, used);
    }
    if (state == HeadState::Bad) {
      throw Poco::Net::MessageException("the answer's head",
                                        HeadFaultName(head.mFault));
    }
    mInHead = state == HeadState::Partial;
    if (mInHead && mHead.size() > kMaxAnswerHeadBytes) {
      throw Poco::Net::NetException("answer head exceeds the size limit");
    }
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

bool
AnswerHeadIsSound(const Poco::Net::StreamSocket& aSocket)
{
  auto* impl = dynamic_cast<const BoundedSocketImpl*>(aSocket.impl());
  return !impl || !impl->InHead();
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
