// What the answers of the platform mean, by status and content.

#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <vector>

#include "base/JsonText.h"
#include "caraway/Clock.h"
#include "net/HttpPort.h"
#include "platform/PlatformClient.h"
#include "support/RepeatingServer.h"

namespace caraway {

namespace {

// Statuses by which a platform refuses a call for good or for now.
constexpr int kRefusals[] = { 400, 401, 403, 404, 413, 429 };

// A platform that gives the scripted answers in turn, then the last one again.
class ScriptedPlatform
{
public:
  struct Answer
  {
    int mStatus;
    std::string mBody;
  };

  explicit ScriptedPlatform(std::vector<Answer> aAnswers)
    : mAnswers(std::move(aAnswers))
    , mPort("127.0.0.1:0", HttpPortLimits(), [this](auto&, auto& aOut) {
      Give(aOut);
    })
  {
  }

  PlatformClient MakeClient()
  {
    PlatformClientSettings settings;
    settings.mAddress = mPort.Address();
    settings.mBackoff = Millis(1);
    return PlatformClient(settings, mClock);
  }
  size_t Calls() const { return mCalls; }

private:
  void Give(Poco::Net::HTTPServerResponse& aOut)
  {
    size_t call = mCalls++;
    const Answer& answer = mAnswers[std::min(call, mAnswers.size() - 1)];
    aOut.setStatus(std::to_string(answer.mStatus));
    aOut.setContentLength(static_cast<std::streamsize>(answer.mBody.size()));
    aOut.send() << answer.mBody;
  }

  SystemClock mClock;
  std::vector<Answer> mAnswers;
  std::atomic<size_t> mCalls{ 0 };
  HttpPort mPort;
};

PlatformWrite
AWrite()
{
  return { "claims", "c1", 0, "w1", Json::Value("held") };
}

ErrorKind
KindOf(const std::optional<Failure>& aFailure)
{
  return aFailure ? aFailure->mKind : ErrorKind::Internal;
}

} // namespace

// Guards against acting on a lease, claim or share that the platform never
// stored: it refused the write.
TEST(PlatformClient, RefusedWriteIsNotTakenForDone)
{
  for (int status : kRefusals) {
    ScriptedPlatform platform({ { status, R"({"error":"no"})" } });
    PlatformClient client = platform.MakeClient();
    EXPECT_EQ(WriteOutcome::Refused, client.Write(AWrite()).mOutcome) << status;
    EXPECT_EQ(1u, platform.Calls()) << status;
  }
}

// Guards against a refused resend that is taken for the fate of the first copy,
// which may have been stored.
TEST(PlatformClient, RefusedResendLeavesTheOutcomeUnknown)
{
  for (int status : kRefusals) {
    ScriptedPlatform platform({ { 503, "" }, { status, "{}" } });
    PlatformClient client = platform.MakeClient();
    EXPECT_EQ(WriteOutcome::Unknown, client.Write(AWrite()).mOutcome) << status;
  }
}

// Guards against an answer without a stored version that counts as success, as
// something between here and the platform may send.
TEST(PlatformClient, AnswerWithoutAVersionProvesNothing)
{
  for (const ScriptedPlatform::Answer& answer :
       { ScriptedPlatform::Answer{ 200, "" },
         { 200, "<html>" },
         { 204, "" },
         { 302, "" },
         { 409, "{}" } }) {
    ScriptedPlatform platform({ answer });
    PlatformClient client = platform.MakeClient();
    EXPECT_EQ(WriteOutcome::Unknown, client.Write(AWrite()).mOutcome)
      << answer.mStatus;
  }
}

// Guards against a write that took effect and is reported otherwise.
TEST(PlatformClient, StoredWriteIsDone)
{
  const char* stored = R"({"name":"c1","version":7,"write_id":"w1"})";
  ScriptedPlatform direct({ { 200, stored } });
  PlatformClient first = direct.MakeClient();
  WriteResult result = first.Write(AWrite());
  EXPECT_EQ(WriteOutcome::Done, result.mOutcome);
  EXPECT_EQ(7, result.mObject.mVersion);
  ScriptedPlatform resent(
    { { 503, "" }, { 409, std::string(R"({"current":)") + stored + "}" } });
  PlatformClient second = resent.MakeClient();
  EXPECT_EQ(WriteOutcome::Done, second.Write(AWrite()).mOutcome);
}

// Guards against a claim, lease or share that is believed to be held by the
// answer to another write, which came a second time: two instances would run
// one order.
TEST(PlatformClient, WriteIsNotDoneByTheAnswerToTheWriteBefore)
{
  RepeatingServer platform([](const std::string& aHead) {
    const std::string field = "X-Write-Id: w";
    std::string id = aHead.substr(aHead.find(field) + field.size(), 1);
    return R"({"name":"c1","version":)" + id + R"(,"write_id":"w)" + id +
           R"("})";
  });
  SystemClock clock;
  PlatformClientSettings settings;
  settings.mAddress = platform.Address();
  PlatformClient client(settings, clock);
  for (int i = 1; i <= 3; ++i) {
    PlatformWrite write = AWrite();
    write.mWriteId = "w" + std::to_string(i);
    WriteResult result = client.Write(write);
    EXPECT_EQ(WriteOutcome::Done, result.mOutcome);
    EXPECT_EQ(i, result.mObject.mVersion);
  }
}

// Guards against the content of one object that is taken for another one's.
TEST(PlatformClient, ReadIsNotTheAnswerToTheReadBefore)
{
  RepeatingServer platform([](const std::string& aHead) {
    std::string path = aHead.substr(0, aHead.find(" HTTP/"));
    std::string name = path.substr(path.rfind('/') + 1);
    return R"({"name":")" + name + R"(","version":1,"value":1})";
  });
  SystemClock clock;
  PlatformClientSettings settings;
  settings.mAddress = platform.Address();
  PlatformClient client(settings, clock);
  for (const char* name : { "a", "b", "a", "c" }) {
    auto read = Outcome([&] { return client.Read("k", name); });
    auto* object = std::get_if<PlatformObject>(&read);
    ASSERT_NE(nullptr, object) << name;
    EXPECT_EQ(name, object->mName);
  }
}

// Guards against a refused read that looks like an object without content: an
// engine's memory would count as free, an instance list as empty.
TEST(PlatformClient, RefusedReadIsNotTakenForAnEmptyAnswer)
{
  for (int status : kRefusals) {
    ScriptedPlatform platform({ { status, R"({"error":"no"})" } });
    PlatformClient client = platform.MakeClient();
    ErrorKind read =
      status == 404 ? ErrorKind::NotFound : ErrorKind::PlatformUnavailable;
    EXPECT_EQ(read, KindOf(FailureIn([&] { return client.Read("k", "n"); })))
      << status;
    EXPECT_EQ(read, KindOf(FailureIn([&] {
                return client.Watch("k", "n", 0, Millis(1));
              })))
      << status;
    EXPECT_EQ(ErrorKind::PlatformUnavailable,
              KindOf(FailureIn([&] { return client.List("k", ""); })))
      << status;
    EXPECT_EQ(ErrorKind::PlatformUnavailable,
              KindOf(FailureIn([&] { return client.Instances(); })))
      << status;
  }
}

} // namespace caraway
