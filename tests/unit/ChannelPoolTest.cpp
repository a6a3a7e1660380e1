// Idle connections to servers: one that its server has ended isn't used.

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "caraway/BootClock.h"
#include "net/ChannelPool.h"

namespace caraway {

namespace {

constexpr char kPeer[] = "server";

struct KeptConnection
{
  KeptConnection()
    : mReactor(mClock)
    , mPool(mReactor)
    , mListener(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mAddress(mListener.address().toString())
  {
    auto channel = Channel::Connect(mReactor, mAddress, Seconds(1));
    mServer = mListener.acceptConnection();
    RunPass();
    mPool.Keep(mAddress, kPeer, channel, Seconds(10));
  }

  void RunPass()
  {
    for (int i = 0; i < 5; ++i) {
      mReactor.RunPass(Millis(5));
    }
  }

  std::shared_ptr<Channel> Take() { return mPool.Take(mAddress, kPeer, 0.5); }

  BootClock mClock;
  Reactor mReactor;
  ChannelPool mPool;
  Poco::Net::ServerSocket mListener;
  std::string mAddress;
  Poco::Net::StreamSocket mServer;
};

} // namespace

// Guards against a pool that keeps nothing.
TEST(ChannelPool, KeptConnectionIsUsedAgain)
{
  KeptConnection kept;
  EXPECT_NE(nullptr, kept.Take());
  EXPECT_EQ(nullptr, kept.Take());
}

// Guards against a request that goes out on a connection whose end has arrived
// and wasn't looked at: it counts as one that may have run.
TEST(ChannelPool, ConnectionThatItsServerEndedIsntUsed)
{
  KeptConnection kept;
  kept.mServer.close();
  EXPECT_EQ(nullptr, kept.Take());
}

// Guards against bytes that belong to no request and are taken for the answer
// to the next one.
TEST(ChannelPool, ConnectionWithBytesOnItIsntUsed)
{
  KeptConnection kept;
  kept.mServer.sendBytes("HTTP/1.1 200 OK\r\n\r\n", 19);
  EXPECT_EQ(nullptr, kept.Take());
}

} // namespace caraway
