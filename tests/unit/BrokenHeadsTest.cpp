// Servers in trouble send heads that aren't those of an answer. No reader may
// take the body behind one for an answer.

#include <gtest/gtest.h>

#include "caraway/BootClock.h"
#include "ctl/AdminClient.h"
#include "ctl/InstanceCall.h"
#include "net/HttpCall.h"
#include "net/HttpPool.h"
#include "net/OutboundCall.h"
#include "platform/PlatformClient.h"
#include "serve/EngineStream.h"
#include "support/BrokenHeads.h"
#include "support/RawAnswerServer.h"

namespace caraway {

namespace {

// A request with an empty body gets a sound answer.
constexpr size_t kSoundBelow = 1;

class BrokenHeadsTest : public testing::Test
{
protected:
  BrokenHeadsTest()
    : mServer(RawAnswer(), kSoundBelow)
  {
  }
  // Calls aTaken with each answer in place and lists what it returned true for.
  void ExpectNone(const std::string& aBody, const std::function<bool()>& aTaken)
  {
    std::string taken;
    for (const BrokenHead& head : BrokenHeads()) {
      RawAnswer answer;
      answer.mBytes = BrokenAnswer(head, "X-Request-Id: {id}\r\n", aBody);
      answer.mReadFirst = SIZE_MAX;
      answer.mEnd = RawEnd::ReadThenClose;
      mServer.SetAnswer(answer);
      taken += aTaken() ? "\n" + head.mWhat : "";
    }
    EXPECT_EQ("", taken);
  }
  HttpCall Call(const std::string& aBody) const
  {
    HttpCall call;
    call.mAddress = mServer.Address();
    call.mMethod = "POST";
    call.mBody = aBody;
    return call;
  }

  RawAnswerServer mServer;
};

} // namespace

// Guards carawayd-entry's calls of all kinds.
TEST_F(BrokenHeadsTest, BufferedCallIsMalformed)
{
  BootClock clock;
  Reactor reactor(clock);
  ChannelPool pool(reactor);
  ExpectNone("body", [&] {
    OutboundRequest request;
    request.mAddress = mServer.Address();
    request.mHead = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
    bool done = false;
    CallOutcome outcome = CallOutcome::Complete;
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
    return outcome == CallOutcome::Complete;
  });
  reactor.Drop();
}

} // namespace caraway
