// A server stops in the middle of an answer and closes, at each byte of it. No
// reader may take what came for a whole answer: a cut length is a shorter
// number, and a cut head may look like one without a body.

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <thread>

#include "caraway/BootClock.h"
#include "net/HttpCall.h"
#include "net/HttpPool.h"
#include "net/OutboundCall.h"
#include "serve/EngineStream.h"

namespace caraway {

namespace {

// Answers each connection's request with the first mBytes bytes of a text and
// closes in order. Tells whether the client closed by a reset.
class CuttingServer
{
public:
  explicit CuttingServer(std::string aText)
    : mServer(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mText(std::move(aText))
    , mBytes(mText.size())
  {
    mThread = std::thread([this] { Run(); });
  }
  ~CuttingServer()
  {
    mStopping = true;
    mThread.join();
  }
  std::string Address() const { return mServer.address().toString(); }

  std::atomic<bool> mKeepsOpen{ false }; // waits for the client to close
  std::atomic<int> mResets{ 0 };
  std::atomic<int> mCloses{ 0 };

private:
  void Run()
  {
    while (!mStopping) {
      if (!mServer.poll(Poco::Timespan(0, 20000),
                        Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      Poco::Net::StreamSocket socket = mServer.acceptConnection();
      char buffer[4096];
      try {
        socket.receiveBytes(buffer, sizeof buffer);
        socket.sendBytes(mText.data(), static_cast<int>(mBytes));
        if (mKeepsOpen) {
          socket.setReceiveTimeout(Poco::Timespan(2, 0));
          mCloses += socket.receiveBytes(buffer, sizeof buffer) == 0 ? 1 : 0;
        } else {
          socket.shutdownSend();
          socket.setReceiveTimeout(Poco::Timespan(0, 200000));
          socket.receiveBytes(buffer, sizeof buffer);
        }
      } catch (const Poco::Exception&) {
        ++mResets;
      }
    }
  }

  Poco::Net::ServerSocket mServer;
  std::string mText;
  std::thread mThread;

public:
  std::atomic<size_t> mBytes;

private:
  std::atomic<bool> mStopping{ false };
};

std::string
Answer(const char* aFirstLine, const char* aFraming, const char* aBody)
{
  return std::string(aFirstLine) + "\r\nX-Request-Id: r1\r\n" + aFraming +
         "\r\n" + aBody;
}

const std::string kAnswers[] = {
  Answer("HTTP/1.1 200 OK", "Content-Length: 12\r\n", "twelve bytes"),
  Answer("HTTP/1.1 200 OK", "Content-Length: 0\r\n", ""),
  Answer("HTTP/1.1 200 OK",
         "Transfer-Encoding: chunked\r\n",
         "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"),
  Answer("HTTP/1.1 204 No Content", "X-More: 1\r\n", ""),
  Answer("HTTP/1.1 304 Not Modified", "X-More: 1\r\n", ""),
  "HTTP/1.1 100 Continue\r\n\r\n" +
    Answer("HTTP/1.1 200 OK", "Content-Length: 2\r\n", "ok"),
};

class CutAnswers : public testing::TestWithParam<std::string>
{
protected:
  CutAnswers()
    : mServer(GetParam())
  {
  }
  bool Chunked() const
  {
    return GetParam().find("chunked") != std::string::npos;
  }

  CuttingServer mServer;
};

CallOutcome
CallBuffered(const std::string& aAddress)
{
  BootClock clock;
  Reactor reactor(clock);
  ChannelPool pool(reactor);
  OutboundRequest request;
  request.mAddress = aAddress;
  request.mHead = "GET / HTTP/1.1\r\n\r\n";
  bool done = false;
  CallOutcome outcome = CallOutcome::NotSent;
  auto call = StartBufferedCall(reactor,
                                pool,
                                std::move(request),
                                Seconds(2),
                                [&](BufferedAnswer& aAnswer) {
                                  outcome = aAnswer.mOutcome;
                                  done = true;
                                });
  while (!done) {
    reactor.RunPass(Millis(10));
  }
  reactor.Drop();
  return outcome;
}

} // namespace

// Guards carawayd's calls to services and to the platform. It takes no chunked
// answer, not even a whole one.
TEST_P(CutAnswers, HttpCallIsLost)
{
  HttpCall call;
  call.mAddress = mServer.Address();
  HttpPool pool;
  for (size_t bytes = 0; bytes < GetParam().size(); ++bytes) {
    mServer.mBytes = bytes;
    EXPECT_EQ(HttpStage::Lost, HttpCallOnce(call).mStage) << bytes;
    EXPECT_EQ(HttpStage::Lost, pool.Call(call).mStage) << bytes;
  }
  mServer.mBytes = GetParam().size();
  EXPECT_EQ(Chunked() ? HttpStage::Lost : HttpStage::Answered,
            HttpCallOnce(call).mStage);
}

// Guards carawayd-entry's calls of all kinds.
TEST_P(CutAnswers, BufferedCallIsInterrupted)
{
  for (size_t bytes = 0; bytes < GetParam().size(); ++bytes) {
    mServer.mBytes = bytes;
    EXPECT_EQ(CallOutcome::Interrupted, CallBuffered(mServer.Address()))
      << bytes;
  }
  mServer.mBytes = GetParam().size();
  EXPECT_EQ(CallOutcome::Complete, CallBuffered(mServer.Address()));
}

INSTANTIATE_TEST_SUITE_P(All, CutAnswers, testing::ValuesIn(kAnswers));

// Guards carawayd's calls to engines: a cut head is the end of the connection,
// not an answer of the engine's.
TEST(CutEngineAnswer, HeadThatStopsIsBroken)
{
  std::string text = Answer("HTTP/1.1 404 Not Found", "X-More: 1\r\n", "");
  CuttingServer server(text);
  GenerateCall call;
  call.mAddress = server.Address();
  call.mRequestId = "r1";
  call.mMessages = Json::Value(Json::arrayValue);
  call.mFirstToken = Seconds(1);
  for (size_t bytes = 0; bytes <= text.size(); ++bytes) {
    server.mBytes = bytes;
    auto result = EngineGenerate(call, [](const std::string&) { return true; });
    EXPECT_EQ(bytes < text.size() ? GenerateOutcome::Broken
                                  : GenerateOutcome::ModelMissing,
              result.mOutcome)
      << bytes;
  }
}

// Guards against a server that works on for nobody, while its stream goes on at
// another one: a call that is given up for what came resets its connection.
TEST(MalformedAnswer, ConnectionIsReset)
{
  CuttingServer server("no answer at all\r\n\r\n");
  server.mKeepsOpen = true;
  EXPECT_EQ(CallOutcome::Malformed, CallBuffered(server.Address()));
  for (int i = 0; i < 100 && server.mResets + server.mCloses == 0; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  EXPECT_EQ(1, server.mResets);
  EXPECT_EQ(0, server.mCloses);
}

} // namespace caraway
