// Idle connections to servers are reused only if they are open and clean.

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "caraway/BootClock.h"
#include "net/ChannelPool.h"

namespace caraway {

namespace {

constexpr char kPeer[] = "server";

struct PooledConnection
{
  PooledConnection()
    : mReactor(mClock)
    , mPool(mReactor)
    , mListener(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mAddress(mListener.address().toString())
  {
    auto channel = Channel::Connect(mReactor, mAddress, Seconds(1));
    mServer = mListener.acceptConnection();
    RunPasses();
    mPool.Keep(mAddress, kPeer, channel, Seconds(10));
  }

  void RunPasses()
  {
    for (int i = 0; i < 5; ++i) {
      mReactor.RunPass(Millis(5));
    }
  }

  std::shared_ptr<Channel> Take()
  {
    RequestIdentity next{ AnswerIdentity::RequestId, "next", TimePoint() };
    return mPool.Take(mAddress, kPeer, 0.5, next);
  }

  BootClock mClock;
  Reactor mReactor;
  ChannelPool mPool;
  Poco::Net::ServerSocket mListener;
  std::string mAddress;
  Poco::Net::StreamSocket mServer;
};

} // namespace

// Guards against a pool that keeps nothing.
TEST(ChannelPool, IdleConnectionIsReused)
{
  PooledConnection pooled;
  EXPECT_NE(nullptr, pooled.Take());
  EXPECT_EQ(nullptr, pooled.Take());
}

// Guards against a request on a connection whose close has arrived but has not
// been read: that request would count as one that may have run.
TEST(ChannelPool, ConnectionClosedByItsServerIsNotReused)
{
  PooledConnection pooled;
  pooled.mServer.close();
  EXPECT_EQ(nullptr, pooled.Take());
}

// Guards against input that belongs to no request and is taken for the answer
// to the next one.
TEST(ChannelPool, ConnectionWithUnreadInputIsNotReused)
{
  PooledConnection pooled;
  pooled.mServer.sendBytes("HTTP/1.1 200 OK\r\n\r\n", 19);
  EXPECT_EQ(nullptr, pooled.Take());
}

} // namespace caraway
