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
  explicit RawServer(std::string aAnswer, bool aCloses = true)
    : mAnswer(std::move(aAnswer))
    , mCloses(aCloses)
  {
    mServer.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false);
    mServer.listen(8);
    mThread = std::thread([this] {
      while (mServer.poll(Poco::Timespan(0, 20000),
                          Poco::Net::Socket::SELECT_READ) ||
             !mStopping) {
        if (!mStopping && mServer.poll(Poco::Timespan(0, 0),
                                       Poco::Net::Socket::SELECT_READ)) {
          Poco::Net::StreamSocket socket = mServer.acceptConnection();
          char buffer[4096];
          socket.receiveBytes(buffer, sizeof buffer);
          if (!mAnswer.empty()) {
            socket.sendBytes(mAnswer.data(), static_cast<int>(mAnswer.size()));
            if (mCloses) {
              socket.shutdown();
            }
          }
          mAccepted.push_back(socket);
        }
      }
    });
  }
  ~RawServer()
  {
    mStopping = true;
    mThread.join();
  }
  HttpCall Call() const
  {
    HttpCall call;
    call.mAddress = mServer.address().toString();
    call.mTimeout = Millis(150);
    return call;
  }

  size_t Connections() const { return mAccepted.size(); }

private:
  std::string mAnswer; // to the first call of a connection; none to others
  bool mCloses;        // the connection, after that
  Poco::Net::ServerSocket mServer;
  std::vector<Poco::Net::StreamSocket> mAccepted;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace

// A server takes the call and never answers. The caller of the call waited
// for ever, since POCO keeps a session's timeout for its own connecting.
TEST(HttpCall, SilentServerIsLostAfterTheTimeout)
{
  RawServer server("");
  EXPECT_EQ(HttpCallOnce(server.Call()).mStage, HttpStage::Lost);
  HttpPool pool;
  EXPECT_EQ(pool.Call(server.Call()).mStage, HttpStage::Lost);
}

// The connection is cut in the middle of an answer. What came looks like a
// shorter answer; only its stated length tells.
TEST(HttpCall, TruncatedAnswersAreLost)
{
  RawServer cut("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_EQ(HttpCallOnce(cut.Call()).mStage, HttpStage::Lost);
  RawServer bare("HTTP/1.1 200 OK\r\n\r\nhalf");
  EXPECT_EQ(HttpCallOnce(bare.Call()).mStage, HttpStage::Lost);
  RawServer whole("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf");
  EXPECT_EQ(HttpCallOnce(whole.Call()).mStage, HttpStage::Answered);
}

// A kept connection is lost while a call is on it, and the server can't be
// reached after that. The call may have been read: saying that it wasn't sent
// would let a holder spend what it has just handed on.
TEST(HttpCall, CallLostOnAPooledConnectionIsNotReportedAsNotSent)
{
  HttpPool pool;
  HttpCall call;
  {
    RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf");
    call = server.Call();
    EXPECT_EQ(pool.Call(call).mStage, HttpStage::Answered);
  }
  EXPECT_EQ(pool.Call(call).mStage, HttpStage::Lost);
}

// A server falls silent on a kept connection. The call was begun again on a
// new one with all its time, so that it lasted twice as long as it may.
TEST(HttpCall, SilenceOnAPooledConnectionIsNotRetried)
{
  RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf", false);
  HttpPool pool;
  EXPECT_EQ(pool.Call(server.Call()).mStage, HttpStage::Answered);
  EXPECT_EQ(pool.Call(server.Call()).mStage, HttpStage::Lost);
  EXPECT_EQ(server.Connections(), 1u);
}

TEST(HttpCall, FailedConnectIsNotSent)
{
  Poco::Net::ServerSocket free;
  free.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false);
  HttpCall call;
  call.mAddress = free.address().toString(); // bound, not listening
  EXPECT_EQ(HttpCallOnce(call).mStage, HttpStage::NotSent);
}

} // namespace caraway
