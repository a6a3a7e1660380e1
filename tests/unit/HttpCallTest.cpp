#include <gtest/gtest.h>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "net/HttpCall.h"
#include "net/HttpPool.h"

namespace caraway {

namespace {

// Takes connections and answers with the given text, or not at all.
class RawServer
{
public:
  explicit RawServer(std::string aAnswer)
    : mAnswer(std::move(aAnswer))
  {
    mServer.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false);
    mServer.listen(8);
    mThread = std::thread([this] {
      while (mServer.poll(Poco::Timespan(0, 20000),
                          Poco::Net::Socket::SELECT_READ) ||
             !mEnding) {
        if (!mEnding && mServer.poll(Poco::Timespan(0, 0),
                                     Poco::Net::Socket::SELECT_READ)) {
          Poco::Net::StreamSocket socket = mServer.acceptConnection();
          char buffer[4096];
          socket.receiveBytes(buffer, sizeof buffer);
          if (!mAnswer.empty()) {
            socket.sendBytes(mAnswer.data(), static_cast<int>(mAnswer.size()));
            socket.shutdown();
          }
          mKept.push_back(socket);
        }
      }
    });
  }
  ~RawServer()
  {
    mEnding = true;
    mThread.join();
  }
  HttpCall Call() const
  {
    HttpCall call;
    call.mAddress = mServer.address().toString();
    call.mTimeout = Millis(150);
    return call;
  }

private:
  std::string mAnswer;
  Poco::Net::ServerSocket mServer;
  std::vector<Poco::Net::StreamSocket> mKept;
  std::atomic<bool> mEnding{ false };
  std::thread mThread;
};

} // namespace

// A server takes the call and never answers. The caller of the call waited
// for ever, since POCO keeps a session's timeout for its own connecting.
TEST(HttpCall, SilenceIsLostAfterTheTimeout)
{
  RawServer server("");
  EXPECT_EQ(HttpCallOnce(server.Call()).mStage, HttpStage::Lost);
  HttpPool pool;
  EXPECT_EQ(pool.Call(server.Call()).mStage, HttpStage::Lost);
}

// The connection is cut in the middle of an answer. What came looks like a
// shorter answer; only its stated length tells.
TEST(HttpCall, ShortAnswersAreNotTakenForWhole)
{
  RawServer cut("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_EQ(HttpCallOnce(cut.Call()).mStage, HttpStage::Lost);
  RawServer bare("HTTP/1.1 200 OK\r\n\r\nhalf");
  EXPECT_EQ(HttpCallOnce(bare.Call()).mStage, HttpStage::Lost);
  RawServer whole("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf");
  EXPECT_EQ(HttpCallOnce(whole.Call()).mStage, HttpStage::Answered);
}

TEST(HttpCall, NoConnectionMeansNotSent)
{
  Poco::Net::ServerSocket free;
  free.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false);
  HttpCall call;
  call.mAddress = free.address().toString(); // bound, not listening
  EXPECT_EQ(HttpCallOnce(call).mStage, HttpStage::NotSent);
}

} // namespace caraway
