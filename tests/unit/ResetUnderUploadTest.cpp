// A server answers a request that is still being written, and its connection
// ends then. An answer without a length is whole only if the server had the
// whole request and closed in order; a framed one is whole by its framing.

#include <gtest/gtest.h>

#include <Poco/Net/NetException.h>

#include "caraway/BootClock.h"
#include "net/HttpCall.h"
#include "net/HttpPool.h"
#include "net/OutboundCall.h"
#include "support/RawAnswerServer.h"

namespace caraway {

namespace {

constexpr size_t kUploads[] = { 300'000, 3'000'000, 16'000'000 }; // bytes
constexpr size_t kSoundBelow = 100;                               // bytes
constexpr size_t kReadAll = SIZE_MAX;

// Until the reset: before the answer is read, as it may be, and after.
constexpr Millis kPauses[] = { Millis(0), Millis(1), Millis(5), Millis(30) };

const std::string kPart = "a part of a body";

struct Received
{
  CallOutcome mOutcome = CallOutcome::NotSent;
  bool mReused = false;
};

class ResetUnderUpload : public testing::Test
{
protected:
  ResetUnderUpload()
    : mReactor(mClock)
    , mPool(mReactor)
    , mServer(RawAnswer(), kSoundBelow)
  {
  }
  ~ResetUnderUpload() override { mReactor.Drop(); }

  Received Call(size_t aUpload)
  {
    OutboundRequest request;
    request.mAddress = mServer.Address();
    request.mIdentity.mBy = AnswerIdentity::Trusted; // connections are kept
    request.mHead =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(aUpload) +
      "\r\n\r\n";
    request.mBody = std::make_shared<const std::string>(aUpload, 'x');
    bool done = false;
    Received received;
    auto call = StartBufferedCall(mReactor,
                                  mPool,
                                  std::move(request),
                                  Seconds(8),
                                  [&](BufferedAnswer& aAnswer) {
                                    received.mOutcome = aAnswer.mOutcome;
                                    done = true;
                                  });
    received.mReused = call->Reused();
    while (!done) {
      mReactor.RunPass(Millis(10));
    }
    mReactor.RunPass(Millis(0)); // releases the call
    return received;
  }
  // How many of the calls, with each of the uploads and pauses, were complete.
  int Complete(const RawAnswer& aAnswer, bool aKept = false)
  {
    int complete = 0;
    for (size_t upload : kUploads) {
      for (Millis pause : kPauses) {
        RawAnswer answer = aAnswer;
        answer.mPause = pause;
        mServer.SetAnswer(answer);
        mPool.Drop(mServer.Address(), "");
        if (aKept) {
          EXPECT_EQ(CallOutcome::Complete, Call(1).mOutcome);
        }
        Received received = Call(upload);
        EXPECT_EQ(aKept, received.mReused);
        complete += received.mOutcome == CallOutcome::Complete ? 1 : 0;
      }
    }
    return complete;
  }
  int CompleteParts(size_t aReadFirst, RawEnd aEnd, bool aKept = false)
  {
    RawAnswer answer;
    answer.mBytes = SealedAnswer("", kPart);
    answer.mReadFirst = aReadFirst;
    answer.mEnd = aEnd;
    return Complete(answer, aKept);
  }

  BootClock mClock;
  Reactor mReactor;
  ChannelPool mPool;
  RawAnswerServer mServer;
};

} // namespace

// Guards against the part of an answer, taken for the whole, where the failed
// write has taken the reset's error from the read that follows.
TEST_F(ResetUnderUpload, PartIsNoWholeAnswer)
{
  for (size_t readFirst : { 0, 100'000, 250'000 }) {
    EXPECT_EQ(0, CompleteParts(readFirst, RawEnd::Reset)) << readFirst;
  }
}

// The same on connections that have carried a request before.
TEST_F(ResetUnderUpload, PartOnAKeptConnectionIsNoWholeAnswer)
{
  EXPECT_EQ(0, CompleteParts(0, RawEnd::Reset, true));
  EXPECT_EQ(0, CompleteParts(100'000, RawEnd::Reset, true));
}

// Guards against an orderly end that precedes the reset, which a socket reports
// even when the reset has arrived before it is read.
TEST_F(ResetUnderUpload, PartThatEndsInOrderBeforeAResetIsNoWholeAnswer)
{
  for (RawEnd end :
       { RawEnd::HalfCloseThenReset, RawEnd::HalfCloseThenUnread }) {
    EXPECT_EQ(0, CompleteParts(0, end)) << static_cast<int>(end);
    EXPECT_EQ(0, CompleteParts(100'000, end)) << static_cast<int>(end);
  }
}

// Guards against an answer with a length that counts as lost for the reset that
// follows it.
TEST_F(ResetUnderUpload, FramedAnswerBeforeTheResetIsWhole)
{
  constexpr int kCalls = std::size(kUploads) * std::size(kPauses);
  for (size_t length : { 0, 100, 20'000 }) {
    RawAnswer answer;
    answer.mBytes =
      SealedAnswer("Content-Length: " + std::to_string(length) + "\r\n",
                   std::string(length, 'b'));
    answer.mEnd = RawEnd::Reset;
    EXPECT_EQ(kCalls, Complete(answer)) << length;
    EXPECT_EQ(kCalls, Complete(answer, true)) << length;
  }
}

// Guards against whole answers without a length that count as broken: the
// server ends them in order once it has read the request, or reads the rest of
// it after their end.
TEST_F(ResetUnderUpload, OrderlyEndAfterTheWholeRequestIsWhole)
{
  constexpr int kCalls = std::size(kUploads) * std::size(kPauses);
  EXPECT_EQ(kCalls, CompleteParts(0, RawEnd::ReadThenClose));
  EXPECT_EQ(kCalls, CompleteParts(100'000, RawEnd::ReadThenClose));
  EXPECT_EQ(kCalls, CompleteParts(0, RawEnd::HalfCloseThenRead));
  EXPECT_EQ(kCalls, CompleteParts(kReadAll, RawEnd::ReadThenClose, true));
}

// Guards against a call that waits until its timeout for a server that has
// ended its answer in order and reads no more of the request.
TEST_F(ResetUnderUpload, ServerThatReadsNoMoreIsGivenUp)
{
  RawAnswer answer;
  answer.mBytes = SealedAnswer("", kPart);
  answer.mEnd = RawEnd::HalfCloseThenReset;
  answer.mPause = Seconds(6);
  mServer.SetAnswer(answer);
  TimePoint begun = mClock.Now();
  EXPECT_EQ(CallOutcome::Interrupted, Call(kUploads[2]).mOutcome);
  EXPECT_LT(mClock.Now() - begun, Seconds(5));
}

// The same for carawayd's calls, where the write of the request isn't what
// meets the reset.
TEST_F(ResetUnderUpload, FramedAnswerOfABlockingCallIsWhole)
{
  RawAnswer answer;
  answer.mBytes = SealedAnswer("Content-Length: 5\r\n", "whole");
  answer.mReadFirst = kReadAll;
  answer.mEnd = RawEnd::Reset;
  mServer.SetAnswer(answer);
  HttpCall call;
  call.mAddress = mServer.Address();
  call.mMethod = "POST";
  call.mBody.assign(kSoundBelow, 'x');
  constexpr int kCalls = 200;
  int whole = 0;
  for (int i = 0; i < kCalls; ++i) {
    whole += HttpCallOnce(call).mStage == HttpStage::Answered ? 1 : 0;
  }
  EXPECT_EQ(kCalls, whole);
}

// Guards carawayd's calls, of which an answer without a length is never whole.
TEST_F(ResetUnderUpload, BlockingCallsTakeNoPart)
{
  HttpPool pool;
  for (RawEnd end :
       { RawEnd::Reset, RawEnd::HalfCloseThenReset, RawEnd::ReadThenClose }) {
    for (size_t upload : kUploads) {
      RawAnswer answer;
      answer.mBytes = SealedAnswer("", kPart);
      answer.mEnd = end;
      mServer.SetAnswer(answer);
      HttpCall call;
      call.mAddress = mServer.Address();
      call.mMethod = "POST";
      EXPECT_EQ(HttpStage::Answered, pool.Call(call).mStage);
      call.mBody.assign(upload, 'x');
      EXPECT_EQ(HttpStage::Lost, HttpCallOnce(call).mStage);
      EXPECT_EQ(HttpStage::Lost, pool.Call(call).mStage);
    }
  }
}

} // namespace caraway
