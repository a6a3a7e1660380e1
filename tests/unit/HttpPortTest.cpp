#include <atomic>
#include <gtest/gtest.h>
#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "net/HttpCall.h"
#include "net/HttpPort.h"
#include "support/Fleet.h"

namespace caraway {

namespace {

// A caller's raw connection.
class RawCaller
{
public:
  explicit RawCaller(const HttpPort& aPort)
  {
    mSocket.connect(Poco::Net::SocketAddress(aPort.Address()));
    mSocket.setReceiveTimeout(Poco::Timespan(3, 0));
  }
  void Send(const std::string& aText)
  {
    size_t sent = 0;
    while (sent < aText.size()) {
      sent += static_cast<size_t>(
        mSocket.sendBytes(&aText[sent], static_cast<int>(aText.size() - sent)));
    }
  }
  void SendRequest() { Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"); }
  // Returns the result of one read; "" if the connection was closed or reset.
  std::string Read()
  {
    char buffer[4096];
    try {
      int got = mSocket.receiveBytes(buffer, sizeof buffer);
      return std::string(buffer, static_cast<size_t>(std::max(got, 0)));
    } catch (const Poco::Exception& error) {
      return "";
    }
  }
  // Gets one answer and keeps the connection, which occupies a thread.
  void SendAndKeepOpen()
  {
    SendRequest();
    ASSERT_NE(Read().find("200 OK"), std::string::npos);
  }

private:
  Poco::Net::StreamSocket mSocket;
};

HttpPortLimits
Limits(int aWaiting)
{
  HttpPortLimits limits;
  limits.mThreads = 2;
  limits.mWaiting = aWaiting;
  return limits;
}

void
AnswerOk(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& aOut)
{
  aOut.sendBuffer("ok", 2);
}

// More than both ends of a connection buffer.
void
AnswerTooMuchToBuffer(Poco::Net::HTTPServerRequest&,
                      Poco::Net::HTTPServerResponse& aOut)
{
  constexpr size_t kBytes = 64 * 1024 * 1024;
  std::string body(kBytes, 'x');
  aOut.setKeepAlive(false);
  aOut.sendBuffer(body.data(), body.size());
}

// Time until a connection is in the port's queue.
constexpr Millis kAcceptTime{ 150 };

} // namespace

// Guards against a request that waits for a thread and is dropped at the port's
// end.
TEST(HttpPort, QueuedConnectionIsAnsweredAtTheEnd)
{
  auto port = std::make_unique<HttpPort>("127.0.0.1:0", Limits(8), AnswerOk);
  RawCaller first(*port);
  RawCaller second(*port);
  first.SendAndKeepOpen();
  second.SendAndKeepOpen();
  RawCaller waiting(*port);
  waiting.SendRequest();
  std::this_thread::sleep_for(kAcceptTime);
  port.reset();
  EXPECT_NE(waiting.Read().find("200 OK"), std::string::npos);
}

// Guards against a connection that is accepted and closed at the moment of the
// port's end.
TEST(HttpPort, EndUnderLoadLosesNoRequest)
{
  constexpr int kRounds = 10;
  constexpr int kCallers = 8;
  std::atomic<int> answered{ 0 };
  std::atomic<int> lost{ 0 };
  for (int i = 0; i < kRounds; ++i) {
    HttpPortLimits limits;
    auto port = std::make_unique<HttpPort>("127.0.0.1:0", limits, AnswerOk);
    HttpCall call;
    call.mAddress = port->Address();
    auto run = [&] {
      HttpReply reply;
      do {
        reply = HttpCallOnce(call);
        answered += reply.Ok() ? 1 : 0;
        lost += reply.mStage == HttpStage::Lost ? 1 : 0;
      } while (reply.Ok());
    };
    std::vector<std::thread> callers;
    for (int k = 0; k < kCallers; ++k) {
      callers.emplace_back(run);
    }
    std::this_thread::sleep_for(Millis(30));
    port->End(Seconds(10));
    port.reset();
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  EXPECT_GT(answered, kRounds * kCallers);
  EXPECT_EQ(lost, 0);
}

// Guards against a connection beyond the queue that is closed without an
// answer.
TEST(HttpPort, ConnectionBeyondTheQueueIsRefused)
{
  HttpPort port("127.0.0.1:0", Limits(1), AnswerOk);
  RawCaller first(port);
  first.SendAndKeepOpen();
  RawCaller second(port);
  second.SendAndKeepOpen();
  RawCaller waiting(port);
  std::this_thread::sleep_for(kAcceptTime);
  RawCaller beyond(port);
  beyond.SendRequest();
  std::string answer = beyond.Read();
  EXPECT_NE(answer.find("503"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After"), std::string::npos) << answer;
}

// Guards against a newcomer who waits for a thread, if only for a refusal,
// while all of them are held by idle connections.
TEST(HttpPort, IdleConnectionsGiveWayToNewcomers)
{
  HttpPort port("127.0.0.1:0", Limits(8), AnswerOk);
  RawCaller first(port);
  RawCaller second(port);
  first.SendAndKeepOpen();
  second.SendAndKeepOpen();
  std::vector<std::unique_ptr<RawCaller>> newcomers;
  for (int i = 0; i < 5; ++i) {
    newcomers.push_back(std::make_unique<RawCaller>(port));
    newcomers.back()->SendRequest();
  }
  for (auto& newcomer : newcomers) {
    EXPECT_NE(newcomer->Read().find("200 OK"), std::string::npos);
  }
}

// Guards against callers who connect, send nothing and hold all threads.
TEST(HttpPort, SilentConnectionsGiveWayToNewcomers)
{
  HttpPort port("127.0.0.1:0", Limits(8), AnswerOk);
  RawCaller first(port);
  RawCaller second(port);
  std::this_thread::sleep_for(kAcceptTime);
  RawCaller newcomer(port);
  newcomer.SendRequest();
  EXPECT_NE(newcomer.Read().find("200 OK"), std::string::npos);
}

// Guards against closing connections that nobody needs the thread of, and those
// whose request is under way.
TEST(HttpPort, OnlyIdleConnectionsGiveWay)
{
  std::atomic<bool> mayAnswer{ false };
  HttpPort port("127.0.0.1:0", Limits(8), [&](auto& aIn, auto& aOut) {
    while (aIn.getURI() == "/slow" && !mayAnswer) {
      std::this_thread::sleep_for(Millis(5));
    }
    AnswerOk(aIn, aOut);
  });
  RawCaller kept(port);
  kept.SendAndKeepOpen();
  RawCaller busy(port);
  busy.Send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
  std::this_thread::sleep_for(Millis(700));
  kept.SendAndKeepOpen();
  std::this_thread::sleep_for(Millis(700));
  RawCaller newcomer(port);
  newcomer.SendRequest();
  EXPECT_NE(newcomer.Read().find("200 OK"), std::string::npos);
  EXPECT_EQ(kept.Read(), ""); // gave way
  mayAnswer = true;
  EXPECT_NE(busy.Read().find("200 OK"), std::string::npos);
}

// Guards against a caller who connects after the limit was set and doesn't read
// its answer: the thread that sends it would be held past the port's end.
TEST(HttpPort, SendTimeLimitAppliesToLaterConnections)
{
  constexpr Millis kUsualTime{ 4000 };
  constexpr Millis kLimit{ 50 };
  HttpPortLimits limits = Limits(8);
  limits.mTransfer = kUsualTime;
  HttpPort port("127.0.0.1:0", limits, AnswerTooMuchToBuffer);
  port.LimitSendTime(kLimit);
  RawCaller caller(port);
  caller.SendRequest();
  EXPECT_TRUE(Eventually(Millis(1000), [&] { return port.Busy() > 0; }));
  EXPECT_TRUE(Eventually(kUsualTime / 2, [&] { return port.Busy() == 0; }));
}

// Guards against the same for a connection that waits in the port's queue as
// the limit is set, and gets its thread and that thread's times afterwards.
TEST(HttpPort, SendTimeLimitAppliesToQueuedConnections)
{
  constexpr Millis kUsualTime{ 4000 };
  constexpr Millis kLimit{ 50 };
  HttpPortLimits limits = Limits(8);
  limits.mTransfer = kUsualTime;
  std::atomic<bool> limited{ false };
  std::atomic<int> slow{ 0 };
  HttpPort port("127.0.0.1:0", limits, [&](auto& aIn, auto& aOut) {
    if (aIn.getURI() == "/slow") {
      ++slow;
      while (!limited) {
        std::this_thread::sleep_for(Millis(5));
      }
      AnswerOk(aIn, aOut);
    } else {
      AnswerTooMuchToBuffer(aIn, aOut);
    }
  });
  RawCaller first(port);
  RawCaller second(port);
  for (RawCaller* caller : { &first, &second }) {
    caller->Send("GET /slow HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  }
  EXPECT_TRUE(Eventually(Millis(1000), [&] { return slow == 2; }));
  RawCaller queued(port);
  queued.SendRequest();
  std::this_thread::sleep_for(kAcceptTime);
  port.LimitSendTime(kLimit);
  limited = true;
  EXPECT_NE(first.Read().find("200 OK"), std::string::npos);
  EXPECT_NE(second.Read().find("200 OK"), std::string::npos);
  EXPECT_NE(queued.Read().find("200 OK"), std::string::npos); // its beginning
  EXPECT_TRUE(Eventually(kUsualTime / 2, [&] { return port.Busy() == 0; }));
}

// Guards against a refusal that is lost in a reset, because its caller is still
// sending.
TEST(HttpPort, RefusalArrivesBeforeTheBodyIsRead)
{
  HttpPort port("127.0.0.1:0", Limits(8), [](auto&, auto& aOut) {
    aOut.setKeepAlive(false);
    aOut.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_UNAUTHORIZED);
    aOut.setContentLength(0);
    aOut.send();
  });
  constexpr size_t kBodyBytes = 8 * 1024 * 1024;
  RawCaller caller(port);
  std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                     std::to_string(kBodyBytes) + "\r\n\r\n";
  EXPECT_NO_THROW(caller.Send(head + std::string(kBodyBytes, 'x')));
  EXPECT_NE(caller.Read().find("401"), std::string::npos);
}

// Guards against an unread body that is taken for the next request.
TEST(HttpPort, UnreadBodyIsNotTakenForARequest)
{
  std::atomic<int> requests{ 0 };
  HttpPort port("127.0.0.1:0", Limits(8), [&](auto&, auto& aOut) {
    ++requests;
    aOut.sendBuffer("ok", 2);
  });
  RawCaller caller(port);
  for (int i = 0; i < 2; ++i) {
    caller.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"
                "GET /\n");
    std::this_thread::sleep_for(kAcceptTime);
    EXPECT_NE(caller.Read().find("200 OK"), std::string::npos);
  }
  EXPECT_EQ(requests, 2);
}

} // namespace caraway
