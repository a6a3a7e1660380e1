// Each reader of answers ends in time, and keeps little, when a server sends
// bytes without end.

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <thread>

#include "caraway/BootClock.h"
#include "net/HttpCall.h"
#include "net/OutboundCall.h"
#include "serve/EngineStream.h"

namespace caraway {

namespace {

constexpr Millis kTimeout{ 400 };

// Beyond the timeout, on a busy machine.
constexpr Millis kSlack{ 1500 };

// More than any limit, with what is in sockets' buffers.
constexpr size_t kMostBytes = 32u << 20;

// Answers one request with a beginning, and then with one piece again and again
// until the caller closes.
class EndlessServer
{
public:
  EndlessServer(std::string aBegin, const std::string& aPiece)
    : mServer(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mBegin(std::move(aBegin))
  {
    while (mPiece.size() < 16384) {
      mPiece += aPiece;
    }
    mThread = std::thread([this] { Run(); });
  }
  ~EndlessServer()
  {
    mStopping = true;
    mThread.join();
  }
  std::string Address() const { return mServer.address().toString(); }
  size_t Sent() const { return mSent; }

private:
  void Run()
  {
    while (!mStopping) {
      if (!mServer.poll(Poco::Timespan(0, 20000),
                        Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      try {
        Poco::Net::StreamSocket socket = mServer.acceptConnection();
        socket.setSendTimeout(Poco::Timespan(0, 100000));
        char buffer[4096];
        socket.receiveBytes(buffer, sizeof buffer);
        socket.sendBytes(mBegin.data(), static_cast<int>(mBegin.size()));
        while (!mStopping) {
          int count =
            socket.sendBytes(mPiece.data(), static_cast<int>(mPiece.size()));
          mSent += static_cast<size_t>(count);
        }
      } catch (const Poco::Exception&) {
        continue; // the caller has closed
      }
    }
  }

  Poco::Net::ServerSocket mServer;
  std::string mBegin;
  std::string mPiece;
  std::atomic<size_t> mSent{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

struct EndlessAnswer
{
  const char* mBegin;
  const char* mPiece;
};

class EndlessBytes : public testing::TestWithParam<EndlessAnswer>
{
protected:
  EndlessBytes()
    : mServer(GetParam().mBegin, GetParam().mPiece)
    , mBegan(std::chrono::steady_clock::now())
  {
  }
  void ExpectEnded()
  {
    EXPECT_LT(std::chrono::steady_clock::now() - mBegan, kTimeout + kSlack);
    EXPECT_LT(mServer.Sent(), kMostBytes);
  }

  EndlessServer mServer;
  std::chrono::steady_clock::time_point mBegan;
};

} // namespace

// Guards carawayd's calls to the platform and to plain services.
TEST_P(EndlessBytes, HttpCallEnds)
{
  HttpCall call;
  call.mAddress = mServer.Address();
  call.mTimeout = kTimeout;
  EXPECT_EQ(HttpStage::Lost, HttpCallOnce(call).mStage);
  ExpectEnded();
}

// Guards against replies that are each within their limit and fill the memory
// together: beyond the bound of all calls some are given up before their time.
TEST(KeptReplies, AllCallsTogetherHaveABound)
{
  constexpr int kCalls = 24;
  constexpr size_t kEach = 7u << 20; // kept by a call that isn't given up
  constexpr size_t kBound = 32u << 20;
  constexpr Millis kWait{ 3000 };
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0),
                                 kCalls);
  std::vector<std::thread> servers;
  std::thread acceptor([&] {
    for (int i = 0; i < kCalls; ++i) {
      servers.emplace_back([socket = server.acceptConnection()]() mutable {
        std::string text =
          "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" +
          std::string(kEach, 'x');
        try {
          socket.sendBytes(text.data(), static_cast<int>(text.size()));
          char bytes[4096];
          while (socket.receiveBytes(bytes, sizeof bytes) > 0) {
          }
        } catch (const Poco::Exception&) {
          return; // the caller has closed
        }
      });
    }
  });
  std::atomic<int> early{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCalls; ++i) {
    callers.emplace_back([&] {
      HttpCall call;
      call.mAddress = server.address().toString();
      call.mTimeout = kWait;
      auto began = std::chrono::steady_clock::now();
      EXPECT_EQ(HttpStage::Lost, HttpCallOnce(call).mStage);
      early += std::chrono::steady_clock::now() - began < kWait / 2 ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  acceptor.join();
  for (std::thread& each : servers) {
    each.join();
  }
  constexpr int kKept = static_cast<int>(kBound / kEach);
  EXPECT_GE(early, kCalls - kKept - 1);
}

// Guards carawayd's calls to model engines.
TEST_P(EndlessBytes, EngineCallEnds)
{
  GenerateCall call;
  call.mAddress = mServer.Address();
  call.mRequestId = "r1";
  call.mMessages = Json::Value(Json::arrayValue);
  call.mFirstToken = kTimeout;
  auto result = EngineGenerate(call, [](const std::string&) { return true; });
  EXPECT_EQ(GenerateOutcome::Broken, result.mOutcome);
  ExpectEnded();
}

// Guards carawayd-entry's calls to the store, to other instances, and its
// reports and orders at servers.
TEST_P(EndlessBytes, BufferedCallEnds)
{
  BootClock clock;
  Reactor reactor(clock);
  ChannelPool pool(reactor);
  OutboundRequest request;
  request.mAddress = mServer.Address();
  request.mHead = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  bool done = false;
  auto call = StartBufferedCall(
    reactor, pool, request, kTimeout, [&done](BufferedAnswer& aAnswer) {
      done = true;
      EXPECT_EQ(0, aAnswer.mStatus);
      EXPECT_LE(aAnswer.mBody.size(), kMaxBufferedBody + 16384);
    });
  while (!done && std::chrono::steady_clock::now() - mBegan < Seconds(5)) {
    reactor.RunPass(Millis(10));
  }
  EXPECT_TRUE(done);
  ExpectEnded();
  reactor.Drop();
}

INSTANTIATE_TEST_SUITE_P(
  All,
  EndlessBytes,
  testing::Values(
    EndlessAnswer{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessAnswer{ "HTTP/1.1 200 OK\r\nX: ", "x" },
    EndlessAnswer{ "HTTP/1.1 200 OK\r\n", "X-Field: some value\r\n" },
    EndlessAnswer{ "HTTP/1.1 200 OK\r\n\r\n", "x" },
    EndlessAnswer{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                   "5\r\nabcde\r\n" },
    EndlessAnswer{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                   "X-Trailer: some value\r\n" }));

} // namespace caraway
