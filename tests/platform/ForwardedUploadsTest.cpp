// An instance that reaches no server forwards its requests to another one. An
// answer that breaks under an upload there is no answer at the first one
// either.

#include <gtest/gtest.h>

#include "platform/WireNames.h"
#include "support/EntryTestFleet.h"
#include "support/RawAnswerServer.h"

namespace caraway {

namespace {

constexpr size_t kSoundBelow = 1000;  // bytes
constexpr size_t kUpload = 4'000'000; // bytes
constexpr size_t kPart = 100'000;     // bytes of the upload that are read

EntryFleetOptions
TwoInstances()
{
  EntryFleetOptions options;
  options.mInstances = 2;
  return options;
}

} // namespace

// Guards against the part of an answer that came before a reset, passed on
// between instances as the whole.
TEST(ForwardedUploads, PartBeforeAResetIsNoAnswer)
{
  RawAnswer part;
  part.mBytes = SealedAnswer("", "a part of a body");
  part.mReadFirst = kPart;
  part.mEnd = RawEnd::Reset;
  RawAnswerServer server(part, kSoundBelow);
  EntryTestFleet fleet(TwoInstances());
  for (auto& plain : fleet.mPlain) {
    Json::Value entry = plain->Entry("plain", "a");
    entry["address"] = server.Address();
    fleet.mStore->Put(wire::kServersKind, plain->Id(), entry);
  }
  fleet.AwaitReady();
  fleet.CutOffFromServers(0, "127.0.0.1:9");
  ASSERT_EQ(200, fleet.Call(0, "/order/x", "sound")->mStatus);
  for (Millis pause : { Millis(0), Millis(5), Millis(20) }) {
    part.mPause = pause;
    server.SetAnswer(part);
    int before = server.RawAnswers();
    std::string id = "u" + std::to_string(pause.count());
    TestCallPtr call =
      fleet.Call(0, "/order/x", id, {}, std::string(kUpload, 'x'));
    EXPECT_EQ(502, call->mStatus);
    EXPECT_LT(before, server.RawAnswers());
  }
}

} // namespace caraway
