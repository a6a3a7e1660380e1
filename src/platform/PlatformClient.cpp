#include "platform/PlatformClient.h"

#include <algorithm>
#include <optional>
#include <thread>

#include "base/JsonText.h"
#include "base/Log.h"

namespace caraway {

namespace {

constexpr int kOk = 200;
constexpr int kNoChange = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyCalls = 429;
// Time for the answer of a watch that ended at its limit to arrive.
constexpr Millis kWatchTimeoutMargin{ 2000 };

std::string
ObjectPath(const std::string& aKind, const std::string& aName)
{
  return "/objects/" + aKind + "/" + aName;
}

PlatformObject
ObjectOf(const Json::Value& aJson)
{
  PlatformObject object;
  object.mName = aJson["name"].asString();
  object.mVersion = aJson["version"].asInt64();
  object.mWriteId = aJson["write_id"].asString();
  object.mValue = aJson["value"];
  return object;
}

InstanceInfo
InstanceOf(const Json::Value& aJson)
{
  InstanceInfo info;
  info.mId = aJson["id"].asString();
  info.mZone = aJson["zone"].asString();
  info.mPeerAddress = aJson["peer"].asString();
  info.mLeaving = aJson["leaving"].asBool();
  return info;
}

leaf::error_id
Unavailable(const HttpReply& aReply)
{
  return Fail(ErrorKind::PlatformUnavailable,
              aReply.mError.empty() ? "platform answered with status " +
                                        std::to_string(aReply.mStatus)
                                    : aReply.mError);
}

// A 5xx status and 429 count as no answer: the call may be retried.
bool
Usable(const HttpReply& aReply)
{
  return aReply.mStage == HttpStage::Answered && aReply.mStatus < 500 &&
         aReply.mStatus != kTooManyCalls;
}

// Only these carry what was asked for. A read refused with another status (no
// right to read, say) must not look like an empty object or list.
bool
HasContent(const HttpReply& aReply)
{
  return Usable(aReply) && aReply.mStatus == kOk;
}

// Whether the answer is about the object aName. Statuses without content say
// nothing of it; what is done by them is a conditional update.
bool
IsAbout(const std::string& aName, const HttpReply& aReply)
{
  Json::Value json = JsonParseOrEmpty(aReply.mBody);
  if (aReply.mStatus == kConflict) {
    return json["current"]["name"].asString() == aName;
  }
  return aReply.mStatus != kOk || json["name"].asString() == aName;
}

bool
IsOfWrite(const PlatformWrite& aWrite, const HttpReply& aReply)
{
  return IsAbout(aWrite.mName, aReply) &&
         (aReply.mStatus != kOk ||
          JsonParseOrEmpty(aReply.mBody)["write_id"].asString() ==
            aWrite.mWriteId);
}

// Whether the answer has the list aName, and no object beside aPrefix.
bool
IsList(const char* aName, const std::string& aPrefix, const HttpReply& aReply)
{
  if (aReply.mStatus != kOk) {
    return true;
  }
  Json::Value json = JsonParseOrEmpty(aReply.mBody);
  for (const Json::Value& entry : json[aName]) {
    if (entry["name"].asString().compare(0, aPrefix.size(), aPrefix) != 0) {
      return false;
    }
  }
  return json.isMember(aName);
}

// What an answer says of its write. Only the two answers that name a stored
// version prove anything about the object; nothing is returned for others.
std::optional<WriteResult>
WriteResultOf(const PlatformWrite& aWrite, const HttpReply& aReply)
{
  if (aReply.mStage != HttpStage::Answered) {
    return std::nullopt;
  }
  Json::Value json = JsonParseOrEmpty(aReply.mBody);
  if (aReply.Ok()) {
    PlatformObject object = ObjectOf(json);
    object.mValue = aWrite.mValue;
    return object.mVersion > 0 ? std::make_optional<WriteResult>(
                                   { WriteOutcome::Done, std::move(object) })
                               : std::nullopt;
  }
  if (aReply.mStatus != kConflict || !json.isMember("current")) {
    return std::nullopt;
  }
  // A conflict with this write's own id means that an earlier copy took effect
  // and this is the answer to a resend.
  PlatformObject current = ObjectOf(json["current"]);
  bool isOwnWrite = current.mWriteId == aWrite.mWriteId;
  return WriteResult{ isOwnWrite ? WriteOutcome::Done : WriteOutcome::Conflict,
                      std::move(current) };
}

// The platform answered that it doesn't take the write, and no other copy of it
// is on its way.
bool
IsRefusal(const HttpReply& aReply)
{
  bool refused = aReply.mStatus >= 400 && aReply.mStatus < 500 &&
                 aReply.mStatus != kConflict;
  return aReply.mStage == HttpStage::Answered && refused && !aReply.mResent;
}

} // namespace

PlatformClient::PlatformClient(PlatformClientSettings aSettings,
                               const Clock& aClock)
  : mSettings(std::move(aSettings))
  , mClock(aClock)
  , mPool(16)
  , mRandom(std::random_device{}())
  , mCallBudget(mSettings.mCallsPerSecond)
  , mCallBudgetAt(aClock.Now())
{
}

TimePoint
PlatformClient::LastAnswer() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mLastAnswer;
}

// Without a budget, an instance whose requests all fail fast would call the
// platform as fast as its callers retry; 350 such instances would keep a
// recovering platform down.
bool
PlatformClient::TakeCallBudget()
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  double seconds = std::chrono::duration<double>(now - mCallBudgetAt).count();
  mCallBudget = std::min(mSettings.mCallsPerSecond,
                         mCallBudget + seconds * mSettings.mCallsPerSecond);
  mCallBudgetAt = now;
  if (mCallBudget < 1) {
    ++mCounts.mOverBudget;
    return false;
  }
  mCallBudget -= 1;
  return true;
}

void
PlatformClient::Pause(int aAttempt)
{
  int64_t maxPause = mSettings.mBackoff.count() << aAttempt;
  int64_t pause = 0;
  {
    std::lock_guard<std::mutex> lock(mLock);
    pause =
      std::uniform_int_distribution<int64_t>(maxPause / 2, maxPause)(mRandom);
  }
  std::this_thread::sleep_for(Millis(pause));
}

HttpReply
PlatformClient::Send(const HttpCall& aCall)
{
  HttpReply reply;
  if (!TakeCallBudget()) {
    reply.mError =
      "this instance's platform call budget is used up; call not made";
    return reply;
  }
  reply = mPool.Call(aCall);
  if (Usable(reply)) {
    std::lock_guard<std::mutex> lock(mLock);
    mLastAnswer = mClock.Now();
  } else {
    ++mCounts.mFailures;
  }
  return reply;
}

HttpReply
PlatformClient::SendWithRetries(const HttpCall& aCall)
{
  HttpReply reply;
  for (int i = 0; i < mSettings.mMaxAttempts; ++i) {
    if (i > 0) {
      Pause(i - 1);
    }
    reply = Send(aCall);
    if (Usable(reply)) {
      break;
    }
  }
  return reply;
}

Result<PlatformObject>
PlatformClient::Read(const std::string& aKind, const std::string& aName)
{
  ++mCounts.mReads;
  HttpCall call;
  call.mAddress = mSettings.mAddress;
  call.mPath = ObjectPath(aKind, aName);
  call.mTimeout = mSettings.mTimeout;
  call.mIsOwn = [&aName](const HttpReply& aReply) {
    return IsAbout(aName, aReply);
  };
  HttpReply reply = SendWithRetries(call);
  if (Usable(reply) && reply.mStatus == kNotFound) {
    return Fail(ErrorKind::NotFound, aKind + "/" + aName);
  }
  if (!HasContent(reply)) {
    return Unavailable(reply);
  }
  return ObjectOf(JsonParseOrEmpty(reply.mBody));
}

Result<std::vector<PlatformObject>>
PlatformClient::List(const std::string& aKind, const std::string& aPrefix)
{
  ++mCounts.mLists;
  HttpCall call;
  call.mAddress = mSettings.mAddress;
  call.mPath = "/list/" + aKind + "?prefix=" + aPrefix;
  call.mTimeout = mSettings.mTimeout;
  call.mIsOwn = [&aPrefix](const HttpReply& aReply) {
    return IsList("objects", aPrefix, aReply);
  };
  HttpReply reply = SendWithRetries(call);
  if (!HasContent(reply)) {
    return Unavailable(reply);
  }
  std::vector<PlatformObject> objects;
  Json::Value json = JsonParseOrEmpty(reply.mBody);
  for (const Json::Value& entry : json["objects"]) {
    objects.push_back(ObjectOf(entry));
  }
  return objects;
}

HttpReply
PlatformClient::SendWriteOnce(const PlatformWrite& aWrite)
{
  ++mCounts.mWrites;
  HttpCall call;
  call.mAddress = mSettings.mAddress;
  call.mMethod = "PUT";
  call.mPath = ObjectPath(aWrite.mKind, aWrite.mName);
  call.mTimeout = mSettings.mTimeout;
  call.mHeaders = { { "X-Expected-Version", std::to_string(aWrite.mExpected) },
                    { "X-Write-Id", aWrite.mWriteId } };
  call.mBody = JsonWrite(aWrite.mValue);
  call.mIsOwn = [&aWrite](const HttpReply& aReply) {
    return IsOfWrite(aWrite, aReply);
  };
  return Send(call);
}

WriteResult
PlatformClient::Write(const PlatformWrite& aWrite)
{
  HttpReply reply = SendWriteOnce(aWrite);
  if (reply.mStage == HttpStage::NotSent) {
    return { WriteOutcome::Refused, {} };
  }
  if (auto result = WriteResultOf(aWrite, reply)) {
    return std::move(*result);
  }
  if (IsRefusal(reply)) {
    LogWarn("platform_write_refused",
            { { "kind", aWrite.mKind },
              { "name", aWrite.mName },
              { "status", std::to_string(reply.mStatus) } });
    return { WriteOutcome::Refused, {} };
  }
  return Resolve(aWrite);
}

// The write was sent and no usable answer came, so it may have taken effect or
// still may. Resending is safe because the write is conditional: only one copy
// can take effect, and the write id shows that it was this one.
WriteResult
PlatformClient::Resolve(const PlatformWrite& aWrite)
{
  for (int i = 0; i < mSettings.mMaxAttempts; ++i) {
    Pause(i);
    HttpReply reply = SendWriteOnce(aWrite);
    if (auto result = WriteResultOf(aWrite, reply)) {
      return std::move(*result);
    }
  }
  return { WriteOutcome::Unknown, {} };
}

Result<PlatformObject>
PlatformClient::Watch(const std::string& aKind,
                      const std::string& aName,
                      int64_t aAfter,
                      Millis aWithin)
{
  ++mCounts.mWatches;
  HttpCall call;
  call.mAddress = mSettings.mAddress;
  call.mPath = "/watch/" + aKind + "/" + aName +
               "?after=" + std::to_string(aAfter) +
               "&ms=" + std::to_string(aWithin.count());
  call.mTimeout = aWithin + kWatchTimeoutMargin;
  call.mIsOwn = [&aName](const HttpReply& aReply) {
    return IsAbout(aName, aReply);
  };
  HttpReply reply = Send(call);
  bool unchanged = reply.mStatus == kNoChange || reply.mStatus == kNotFound;
  if (Usable(reply) && unchanged) {
    return Fail(ErrorKind::NotFound, "no change");
  }
  if (!HasContent(reply)) {
    return Unavailable(reply);
  }
  return ObjectOf(JsonParseOrEmpty(reply.mBody));
}

Result<std::vector<InstanceInfo>>
PlatformClient::Instances()
{
  ++mCounts.mLists;
  HttpCall call;
  call.mAddress = mSettings.mAddress;
  call.mPath = "/instances";
  call.mTimeout = mSettings.mTimeout;
  call.mIsOwn = [](const HttpReply& aReply) {
    return IsList("instances", "", aReply);
  };
  HttpReply reply = Send(call);
  if (!HasContent(reply)) {
    return Unavailable(reply);
  }
  std::vector<InstanceInfo> instances;
  Json::Value json = JsonParseOrEmpty(reply.mBody);
  for (const Json::Value& entry : json["instances"]) {
    instances.push_back(InstanceOf(entry));
  }
  return instances;
}

} // namespace caraway
