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

// Guards against events that are taken for fresh: a pass that was held up
// shows as the lag of the next one.
TEST_F(ReactorTimers, LongPassShowsAsLag)
{
  mReactor.RunPass(Millis(0));
  mReactor.RunPass(Millis(0));
  EXPECT_LT(mReactor.Lag(), Millis(50));
  mReactor.After(Millis(1), [] { std::this_thread::sleep_for(Millis(100)); });
  std::this_thread::sleep_for(Millis(5));
  mReactor.RunPass(Millis(0));
  EXPECT_GE(mReactor.Lag(), Millis(95));
}

// Guards against callers that are served by outdated state: what brings the
// news is handled first, whatever the order of the sockets.
TEST_F(ReactorTimers, ControlSocketsAreHandledFirst)
{
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1:0"));
  std::vector<std::shared_ptr<Channel>> channels;
  std::vector<Poco::Net::StreamSocket> others;
  std::vector<size_t> order;
  for (size_t i = 0; i < 8; ++i) {
    channels.push_back(
      Channel::Connect(mReactor, server.address().toString(), Seconds(5)));
    others.push_back(server.acceptConnection());
    Channel::Events events;
    events.mData = [&, i] {
      channels[i]->Input().clear();
      order.push_back(i);
    };
    channels[i]->SetEvents(std::move(events));
    while (!channels[i]->Ready()) {
      mReactor.RunPass(Millis(10));
    }
  }
  for (size_t control = 0; control < channels.size(); ++control) {
    order.clear();
    for (size_t i = 0; i < channels.size(); ++i) {
      channels[i]->SetControl(i == control);
      others[i].sendBytes("x", 1);
    }
    std::this_thread::sleep_for(Millis(20)); // all are readable
    mReactor.RunPass(Millis(10));
    ASSERT_EQ(channels.size(), order.size());
    EXPECT_EQ(control, order.front());
  }
}

} // namespace caraway
