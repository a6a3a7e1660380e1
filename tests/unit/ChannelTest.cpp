// Reactor connections: all output arrives, however slowly the other side reads.

#include <gtest/gtest.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cerrno>
#include <netinet/tcp.h>
#include <optional>

#include "caraway/BootClock.h"
#include "net/Channel.h"
#include "net/OutboundCall.h"

namespace caraway {

// Guards against a stream with missing chunks: the reader is slow, so that the
// socket's buffer fills and the rest of the output must wait.
TEST(Channel, SlowReaderGetsAllOutput)
{
  BootClock clock;
  Reactor reactor(clock);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  auto reader =
    Channel::Connect(reactor, listener.address().toString(), Seconds(1));
  auto writer = Channel::Accepted(reactor, listener.acceptConnection());
  constexpr size_t kBytes = 32u << 20; // more than any socket buffer holds
  writer->Write(std::string(kBytes, 'x'));
  EXPECT_LT(0u, writer->QueuedBytes());
  TimePoint until = clock.Now() + Seconds(10);
  size_t got = 0;
  while (got < kBytes && clock.Now() < until) {
    reactor.RunPass(Millis(20));
    got += reader->Input().size();
    reader->Input().clear();
  }
  EXPECT_EQ(kBytes, got);
  EXPECT_EQ(0u, writer->QueuedBytes());
}

// Guards against a shared body that is lost, or out of order, where the socket
// takes a part of it only.
TEST(Channel, SharedBodyArrivesBetweenWhatComesBeforeAndAfter)
{
  BootClock clock;
  Reactor reactor(clock);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  auto reader =
    Channel::Connect(reactor, listener.address().toString(), Seconds(1));
  auto writer = Channel::Accepted(reactor, listener.acceptConnection());
  auto body = std::make_shared<std::string>();
  for (int i = 0; body->size() < (16u << 20); ++i) {
    *body += std::to_string(i) + " ";
  }
  writer->Write("head", body);
  EXPECT_LT(0u, writer->QueuedBytes());
  EXPECT_GT(body->size() / 2, writer->HeldBytes()); // not copied
  writer->Write("tail");
  std::string all = "head" + *body + "tail";
  TimePoint until = clock.Now() + Seconds(10);
  while (reader->Input().size() < all.size() && clock.Now() < until) {
    reactor.RunPass(Millis(20));
  }
  EXPECT_TRUE(all == reader->Input());
  EXPECT_EQ(0u, writer->QueuedBytes());
  EXPECT_EQ(0u, writer->HeldBytes());
}

// Guards against a final answer that is truncated while its slow reader still
// reads it.
TEST(Channel, SlowReaderGetsAllOutputAfterFinish)
{
  BootClock clock;
  Reactor reactor(clock);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::StreamSocket reader(listener.address());
  auto writer = Channel::Accepted(reactor, listener.acceptConnection());
  constexpr size_t kBytes = 32u << 20;
  constexpr size_t kPartBytes = 2u << 20;
  writer->Write(std::string(kBytes, 'x'));
  writer->Finish();
  size_t got = 0;
  std::string bytes(kPartBytes, ' ');
  for (size_t from = 0; from < kBytes; from += kPartBytes) {
    TimePoint until = clock.Now() + Millis(400);
    while (clock.Now() < until) {
      reactor.RunPass(Millis(20));
    }
    size_t part = 0;
    int count = 1;
    while (part < kPartBytes && count > 0) {
      reactor.RunPass(Millis(0));
      count =
        reader.receiveBytes(bytes.data(), static_cast<int>(kPartBytes - part));
      part += count > 0 ? static_cast<size_t>(count) : 0;
    }
    got += part;
  }
  EXPECT_EQ(kBytes, got);
}

// Guards against a reader that has stopped and keeps its connection open for
// ever.
TEST(Channel, FinishGivesUpOnAStoppedReader)
{
  BootClock clock;
  Reactor reactor(clock);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::StreamSocket reader(listener.address());
  auto writer = Channel::Accepted(reactor, listener.acceptConnection());
  writer->Write(std::string(32u << 20, 'x'));
  writer->Finish();
  TimePoint until = clock.Now() + Seconds(8);
  while (writer->Open() && clock.Now() < until) {
    reactor.RunPass(Millis(20));
  }
  EXPECT_FALSE(writer->Open());
}

// Guards against a connection that is given up because its host was silent for
// a second: of the probes that are sent before the user timeout, which ends
// them, the last must come that much after the first, and be answered.
TEST(Channel, ShortSilenceLeavesTimeForAnotherProbe)
{
  BootClock clock;
  Reactor reactor(clock);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::StreamSocket peer(listener.address());
  Poco::Net::StreamSocket socket = listener.acceptConnection();
  auto channel = Channel::Accepted(reactor, socket);
  auto option = [&socket](int aName) {
    int value = 0;
    socket.getOption(IPPROTO_TCP, aName, value);
    return value;
  };
  Millis first = Seconds(option(TCP_KEEPIDLE));
  Millis interval = Seconds(option(TCP_KEEPINTVL));
  Millis timeout(option(TCP_USER_TIMEOUT));
  int probes = 0;
  while (first + interval * probes < timeout) {
    ++probes;
  }
  constexpr Millis kSilence{ 1500 };
  EXPECT_GE(interval * (probes - 1), kSilence);
  EXPECT_GE(option(TCP_KEEPCNT), probes);
  channel->Close();
}

namespace {

enum class ErrorTaker
{
  Read,
  Write,
  Option, // SO_ERROR
};

class AcceptedChannel : public testing::Test
{
protected:
  AcceptedChannel()
    : mReactor(mClock)
    , mListener(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mPeer(mListener.address())
    , mSocket(mListener.acceptConnection())
    , mChannel(Channel::Accepted(mReactor, mSocket))
  {
    Channel::Events events;
    events.mEnd = [this](ChannelCloseReason aReason) { mEnd = aReason; };
    mChannel->SetEvents(std::move(events));
  }
  ~AcceptedChannel() override { mReactor.Drop(); }
  void AwaitEnd()
  {
    TimePoint until = mClock.Now() + Seconds(2);
    while (!mEnd && mClock.Now() < until) {
      mReactor.RunPass(Millis(10));
    }
  }
  void ResetByPeer()
  {
    mPeer.setLinger(true, 0);
    mPeer.close();
  }

  BootClock mClock;
  Reactor mReactor;
  Poco::Net::ServerSocket mListener;
  Poco::Net::StreamSocket mPeer;
  Poco::Net::StreamSocket mSocket;
  std::shared_ptr<Channel> mChannel;
  std::optional<ChannelCloseReason> mEnd;
};

class ResetChannel
  : public AcceptedChannel
  , public testing::WithParamInterface<ErrorTaker>
{};

} // namespace

// Guards against a reset that looks like an orderly end, because its error was
// told to something else than the read.
TEST_P(ResetChannel, HasFailedWhateverTookTheError)
{
  if (GetParam() == ErrorTaker::Write) {
    mChannel->Write(std::string(32u << 20, 'x'));
  }
  ResetByPeer();
  if (GetParam() == ErrorTaker::Option) {
    int error = 0;
    mSocket.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
    EXPECT_EQ(ECONNRESET, error);
  }
  AwaitEnd();
  ASSERT_TRUE(mEnd);
  EXPECT_EQ(ChannelCloseReason::Failed, *mEnd);
}

// The same where an orderly end precedes the reset, and both have arrived
// before anything is read.
TEST_P(ResetChannel, HasFailedThoughItEndedInOrderBefore)
{
  if (GetParam() == ErrorTaker::Write) {
    mChannel->Write(std::string(32u << 20, 'x'));
  }
  mPeer.shutdownSend();
  ResetByPeer();
  if (GetParam() == ErrorTaker::Option) {
    int error = 0;
    mSocket.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
  }
  AwaitEnd();
  ASSERT_TRUE(mEnd);
  EXPECT_EQ(ChannelCloseReason::Failed, *mEnd);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ResetChannel,
                         testing::Values(ErrorTaker::Read,
                                         ErrorTaker::Write,
                                         ErrorTaker::Option));

// Guards against an orderly end that counts as a failure.
TEST_F(AcceptedChannel, OrderlyEndIsNoFailure)
{
  mPeer.close();
  AwaitEnd();
  ASSERT_TRUE(mEnd);
  EXPECT_EQ(ChannelCloseReason::Closed, *mEnd);
}

// Guards against a request that is given up while the network holds it up, and
// reaches a server that has left meanwhile: a reset discards it, a close
// doesn't.
TEST(Channel, CancelledCallResetsItsConnection)
{
  BootClock clock;
  Reactor reactor(clock);
  ChannelPool pool(reactor);
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  OutboundRequest request;
  request.mAddress = listener.address().toString();
  request.mHead = "GET / HTTP/1.1\r\n\r\n";
  auto call = OutboundCall::Start(reactor, pool, request, {});
  Poco::Net::StreamSocket server = listener.acceptConnection();
  while (!call->Sent()) {
    reactor.RunPass(Millis(20));
  }
  char bytes[64];
  EXPECT_LT(0, server.receiveBytes(bytes, sizeof bytes));
  call->Cancel();
  EXPECT_THROW(server.receiveBytes(bytes, sizeof bytes),
               Poco::Net::ConnectionResetException);
}

} // namespace caraway
