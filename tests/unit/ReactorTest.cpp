// Order of timers and sockets in the event loop of an entry instance.

#include <gtest/gtest.h>
#include <thread>

#include <Poco/Net/ServerSocket.h>

#include "caraway/BootClock.h"
#include "net/Channel.h"
#include "net/Reactor.h"

namespace caraway {

namespace {

class ReactorTimers : public testing::Test
{
protected:
  ReactorTimers()
  {
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1:0"));
    mChannel =
      Channel::Connect(mReactor, server.address().toString(), Seconds(5));
    mOther = server.acceptConnection();
    while (!mChannel->Ready()) {
      mReactor.RunPass(Millis(10));
    }
  }

  BootClock mClock;
  Reactor mReactor{ mClock };
  std::shared_ptr<Channel> mChannel;
  Poco::Net::StreamSocket mOther;
};

} // namespace

// Guards against calls that count as unanswered although their answers have
// arrived: the loop is held up past the timeout, while the answer lies in the
// socket.
TEST_F(ReactorTimers, AnswerThatArrivedDuringALongPassIsReadBeforeItsTimeout)
{
  bool heldUp = false;
  bool answered = false;
  bool timedOut = false;
  Channel::Events events;
  events.mData = [&] {
    answered = heldUp;
    if (!heldUp) {
      heldUp = true;
      mOther.sendBytes("answer", 6);
      std::this_thread::sleep_for(Millis(100));
    }
  };
  mChannel->SetEvents(std::move(events));
  mReactor.After(Millis(50), [&] { timedOut = !answered; });
  mOther.sendBytes("x", 1);
  for (int i = 0; i < 20 && !answered; ++i) {
    mReactor.RunPass(Millis(10));
  }
  EXPECT_TRUE(answered);
  EXPECT_FALSE(timedOut);
}

// Guards against a task without a delay that repeats itself and keeps the
// sockets from being read.
TEST_F(ReactorTimers, RepeatedTaskWithoutDelayLetsSocketsBeRead)
{
  bool answered = false;
  int runs = 0;
  Channel::Events events;
  events.mData = [&] { answered = true; };
  mChannel->SetEvents(std::move(events));
  std::function<void()> again = [&] {
    ++runs;
    mReactor.After(Millis(0), again);
  };
  again();
  mOther.sendBytes("x", 1);
  for (int i = 0; i < 20 && !answered; ++i) {
    mReactor.RunPass(Millis(10));
  }
  EXPECT_TRUE(answered);
  EXPECT_LE(runs, 22);
}

} // namespace caraway
