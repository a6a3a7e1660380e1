// Servers send broken answers to instances as processes. No caller gets one as
// an answer: what came before a reset is no whole answer, and a head that isn't
// one by RFC 9110 and 9112 has no answer behind it.

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "platform/WireNames.h"
#include "support/BrokenHeads.h"
#include "support/Fleet.h"
#include "support/OneEntryProcess.h"
#include "support/RawAnswerServer.h"

namespace caraway {

namespace {

constexpr size_t kSoundBelow = 1000;                  // bytes
constexpr size_t kUploads[] = { 300'000, 4'000'000 }; // bytes
constexpr Millis kPauses[] = { Millis(0), Millis(5), Millis(20) };
constexpr int kBadGateway = 502;

const std::vector<HttpField> kModel = { { wire::kModel, "m0" },
                                        { wire::kTokens, "100,50" },
                                        { wire::kDeadline, "1000" } };
const std::string kEvents = "id: 1\ndata: piece 1\n\n";

// One instance whose servers all are one raw server. Requests with few bytes
// get sound answers.
class BrokenAnswers : public testing::Test
{
protected:
  BrokenAnswers()
    : mServer(RawAnswer(), kSoundBelow)
    , mEntry(EntryFleetOptions(),
             nullptr,
             [this](EntryTestFleet& aFleet) {
               for (auto& server : aFleet.mPlain) {
                 Relist(aFleet, *server, "plain");
               }
               Relist(aFleet, *aFleet.mEngines[0], "engine");
             })
    , mFleet(mEntry.mFleet)
  {
  }
  void Relist(EntryTestFleet& aFleet,
              const StandInServer& aServer,
              const std::string& aService)
  {
    Json::Value entry = aServer.Entry(aService, "a");
    entry["address"] = mServer.Address();
    aFleet.mStore->Put(wire::kServersKind, aServer.Id(), entry);
  }
  // How many of the uploads to aPath got a complete success.
  int CompleteUploads(const std::string& aPath,
                      const RawAnswer& aAnswer,
                      const std::vector<HttpField>& aFields = {})
  {
    int complete = 0;
    for (size_t upload : kUploads) {
      for (Millis pause : kPauses) {
        RawAnswer answer = aAnswer;
        answer.mPause = pause;
        mServer.SetAnswer(answer);
        int before = mServer.RawAnswers();
        TestCallPtr call = mFleet.Call(0,
                                       aPath,
                                       "u" + std::to_string(++mCalls),
                                       aFields,
                                       std::string(upload, 'x'));
        complete += call->mStatus == 200 && call->mComplete ? 1 : 0;
        EXPECT_TRUE(call->mComplete || call->mClosed);
        EXPECT_LT(before, mServer.RawAnswers()) << call->mStatus;
      }
    }
    return complete;
  }
  bool Logged(const std::string& aText)
  {
    std::ostringstream text;
    text << std::ifstream(mEntry.mFolder.File("i0.log")).rdbuf();
    return text.str().find(aText) != std::string::npos;
  }

  RawAnswerServer mServer;
  OneEntryProcess mEntry;
  EntryTestFleet& mFleet;
  int mCalls = 0;
};

RawAnswer
PartBeforeReset(const std::string& aFields, const std::string& aBody)
{
  RawAnswer answer;
  answer.mBytes = SealedAnswer(aFields, aBody);
  answer.mReadFirst = 100'000;
  answer.mEnd = RawEnd::Reset;
  return answer;
}

} // namespace

// Guards against the part of an answer that came before a reset, passed on as
// the whole while the upload was still being written.
TEST_F(BrokenAnswers, PartBeforeAResetUnderAnUploadIsNoAnswer)
{
  RawAnswer answer = PartBeforeReset("", "a part of a body");
  for (size_t readFirst : { 0, 100'000 }) {
    answer.mReadFirst = readFirst;
    EXPECT_EQ(0, CompleteUploads("/order/x", answer));
    EXPECT_EQ(0, CompleteUploads("/safe/x", answer));
  }
  EXPECT_TRUE(Logged("\"how\":\"cut\",\"wrong\":\"connection failed\""));
}

// The same for streams, of which the last event that came is whole.
TEST_F(BrokenAnswers, StreamBeforeAResetUnderAnUploadIsBroken)
{
  RawAnswer answer =
    PartBeforeReset("Content-Type: text/event-stream\r\n", kEvents);
  EXPECT_EQ(0, CompleteUploads("/stream/stream", answer, kModel));
  EXPECT_EQ(0, CompleteUploads("/resume/stream", answer, kModel));
}

// The same after an orderly end, which the reset follows. The uploads are
// larger than what the systems on the way take for a server that reads none.
TEST_F(BrokenAnswers, PartThatEndsInOrderBeforeAResetIsNoAnswer)
{
  RawAnswer answer = PartBeforeReset("", "a part of a body");
  for (RawEnd end :
       { RawEnd::HalfCloseThenReset, RawEnd::HalfCloseThenUnread }) {
    answer.mEnd = end;
    EXPECT_EQ(0, CompleteUploads("/order/x", answer));
  }
}

// Guards against a framed answer that is lost for the reset behind it, and an
// unframed one whose server has read all of the request.
TEST_F(BrokenAnswers, WholeAnswersToUploadsAreComplete)
{
  constexpr int kCalls = std::size(kUploads) * std::size(kPauses);
  RawAnswer framed = PartBeforeReset("Content-Length: 5\r\n", "whole");
  EXPECT_EQ(kCalls, CompleteUploads("/order/x", framed));
  RawAnswer unframed = PartBeforeReset("", "whole");
  unframed.mEnd = RawEnd::ReadThenClose;
  EXPECT_EQ(kCalls, CompleteUploads("/order/x", unframed));
}

// Guards against a body behind a head that isn't that of an answer, passed on
// with some of its lines.
TEST_F(BrokenAnswers, AnswerWithABrokenHeadIsNoAnswer)
{
  for (const BrokenHead& head : BrokenHeads()) {
    RawAnswer answer;
    answer.mBytes = BrokenAnswer(head,
                                 std::string(wire::kRequestId) + ": {id}\r\n" +
                                   wire::kSeal + ": seal\r\n",
                                 "body");
    answer.mReadFirst = SIZE_MAX;
    answer.mEnd = RawEnd::ReadThenClose;
    mServer.SetAnswer(answer);
    TestCallPtr call = mFleet.Call(0,
                                   "/order/x",
                                   std::to_string(++mCalls),
                                   {},
                                   std::string(kSoundBelow, 'x'));
    EXPECT_EQ(kBadGateway, call->mStatus) << head.mWhat;
    EXPECT_EQ("", call->mBody) << head.mWhat;
  }
  EXPECT_TRUE(Logged("\"event\":\"answer_rejected\""));
  EXPECT_TRUE(Logged("\"address\":\"" + mServer.Address() + "\""));
  EXPECT_TRUE(Logged("\"wrong\":\"field name\""));
}

namespace {

// One carawayd whose services all are one raw server.
class BrokenServiceAnswers : public testing::Test
{
protected:
  BrokenServiceAnswers()
    : mFleet(OneInstance())
  {
    int64_t revision = mFleet.Configure([&](Json::Value& aConfig) {
      for (Json::Value& endpoint : aConfig["endpoints"]) {
        if (endpoint["kind"].asString() == "service") {
          endpoint["address"] = mServer.Address();
        }
      }
    });
    EXPECT_TRUE(mFleet.AwaitRevision(revision, Seconds(5)));
  }
  static FleetPlan OneInstance()
  {
    FleetPlan plan;
    plan.mZones = { "mendoza-a" };
    plan.mInstances = { 1 };
    return plan;
  }
  HttpReply Status()
  {
    HttpCall call;
    call.mAddress = mFleet.mInstances[0]->Address("caller");
    call.mMethod = "POST";
    call.mPath = "/v1/services/status/x";
    call.mBody = "body";
    call.mTimeout = Seconds(10);
    call.mHeaders = { { "Authorization", "Bearer " + mFleet.mKeys["acme"] } };
    return HttpCallOnce(call);
  }

  RawAnswerServer mServer;
  Fleet mFleet;
};

} // namespace

// Guards carawayd's callers against the body behind a head that isn't that of
// an answer, and its orders against counting as answered by one: whether they
// ran stays unknown, and they aren't sent again.
TEST_F(BrokenServiceAnswers, AnswerWithABrokenHeadIsNoAnswer)
{
  std::string taken;
  int number = 0;
  for (const BrokenHead& head : BrokenHeads()) {
    RawAnswer answer;
    answer.mBytes =
      BrokenAnswer(head, "Content-Type: text/plain\r\n", "broken body");
    answer.mReadFirst = SIZE_MAX;
    answer.mEnd = RawEnd::ReadThenClose;
    mServer.SetAnswer(answer);
    HttpReply status = Status();
    std::string key = "k" + std::to_string(++number);
    HttpReply order = mFleet.OrderCall(0, mFleet.mKeys["acme"], key, "body");
    int sent = mServer.RawAnswers();
    HttpReply again = mFleet.OrderCall(0, mFleet.mKeys["acme"], key, "body");
    EXPECT_EQ(sent, mServer.RawAnswers()) << head.mWhat;
    for (const HttpReply& reply : { status, order, again }) {
      bool passedOn = reply.mBody.find("broken body") != std::string::npos;
      EXPECT_EQ(HttpStage::Answered, reply.mStage);
      taken += passedOn || reply.Ok() ? "\n" + head.mWhat : "";
    }
  }
  EXPECT_EQ("", taken);
  std::ostringstream log;
  log << std::ifstream(mFleet.mFolder + "/i0.log").rdbuf();
  for (const std::string& text :
       { std::string("answer_rejected"),
         "\"address\":\"" + mServer.Address() + "\"",
         std::string("the answer's head: field name") }) {
    EXPECT_NE(std::string::npos, log.str().find(text)) << text;
  }
}

// The same for what came before a reset, or an orderly end, under an upload.
TEST_F(BrokenServiceAnswers, PartBeforeAResetUnderAnUploadIsNoAnswer)
{
  for (RawEnd end : { RawEnd::Reset, RawEnd::HalfCloseThenReset }) {
    RawAnswer answer;
    answer.mBytes = SealedAnswer("", "broken body");
    answer.mEnd = end;
    mServer.SetAnswer(answer);
    for (size_t upload : { 1000, 300'000, 900'000 }) {
      HttpReply reply = mFleet.OrderCall(0,
                                         mFleet.mKeys["acme"],
                                         "k" + std::to_string(upload) +
                                           std::to_string(int(end)),
                                         std::string(upload, 'x'));
      EXPECT_FALSE(reply.Ok());
      EXPECT_EQ(std::string::npos, reply.mBody.find("broken body"));
    }
  }
}

namespace {

int
RunPartsCommand(const std::string& aAddress)
{
  std::string command =
    CARAWAY_BIN_DIR "/carawayctl parts " + aAddress + " >/dev/null 2>&1";
  return std::system(command.c_str());
}

} // namespace

// Guards an operator against a table that an instance hasn't sent.
TEST(BrokenInstanceAnswers, CommandLineFails)
{
  const std::string body = R"({"result":{"part":{"blocked":true}}})";
  RawAnswer answer;
  answer.mEnd = RawEnd::ReadThenClose;
  answer.mBytes = SealedAnswer(
    "Content-Length: " + std::to_string(body.size()) + "\r\n", body);
  RawAnswerServer server(answer);
  EXPECT_EQ(0, RunPartsCommand(server.Address()));
  std::string taken;
  for (const BrokenHead& head : BrokenHeads()) {
    answer.mBytes = BrokenAnswer(head, "", body);
    server.SetAnswer(answer);
    taken += RunPartsCommand(server.Address()) == 0 ? "\n" + head.mWhat : "";
  }
  EXPECT_EQ("", taken);
}

} // namespace caraway
