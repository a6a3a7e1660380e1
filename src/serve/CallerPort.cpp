#include "serve/CallerPort.h"

#include <Poco/URI.h>

#include "base/JsonText.h"
#include "base/Log.h"
#include "base/RandomId.h"
#include "serve/ChatReply.h"
#include "serve/Problem.h"

namespace caraway {

namespace {

const std::string kServices = "/v1/services/";
const std::string kBriefings = "/v1/briefings/";
constexpr size_t kIdDigits = 32;
// A briefing that could not be run within this time is refused for good.
constexpr std::chrono::hours kBriefingLifetime{ 24 };
constexpr size_t kIdempotencyKeyLimit = 256;

bool
MayUse(const Profile& aProfile, const std::string& aTenant)
{
  return aProfile.mTenant.empty() || aProfile.mTenant == aTenant;
}

Result<void>
Begin(CallerAnswer& aAnswer)
{
  if (!aAnswer.Begin()) {
    return Fail(
      ErrorKind::ShuttingDown,
      "this instance is shutting down; send the request to another one");
  }
  return {};
}

// Takes the messages out of aJson.
Result<ModelCall>
ParseChat(Json::Value& aJson)
{
  ModelCall call;
  if (!aJson.isObject() || !aJson["model"].isString()) {
    return Fail(ErrorKind::BadRequest, "model: expected the name of a profile");
  }
  call.mMessages.swap(aJson["messages"]);
  if (!call.mMessages.isArray() || call.mMessages.empty()) {
    return Fail(ErrorKind::BadRequest, "messages: expected a list");
  }
  for (const Json::Value& message : call.mMessages) {
    if (!message.isObject() || !message["role"].isString() ||
        !message["content"].isString()) {
      return Fail(ErrorKind::BadRequest,
                  "messages: each needs a role and a content, both strings");
    }
  }
  const Json::Value& maxTokens = aJson["max_tokens"];
  if (!maxTokens.isNull() && (!maxTokens.isInt() || maxTokens.asInt() < 1)) {
    return Fail(ErrorKind::BadRequest, "max_tokens: expected a number >= 1");
  }
  const Json::Value& stream = aJson["stream"];
  if (!stream.isNull() && !stream.isBool()) {
    return Fail(ErrorKind::BadRequest, "stream: expected true or false");
  }
  call.mMaxTokens = maxTokens.isNull() ? 0 : maxTokens.asInt();
  return call;
}

} // namespace

CallerPort::CallerPort(CallerPortSettings aSettings,
                       ConfigHolder& aConfig,
                       Authenticator& aKeys,
                       ModelCalls& aModels,
                       ServiceCalls& aServices,
                       BriefingStore& aBriefings,
                       Metrics& aMetrics,
                       const Clock& aClock)
  : mSettings(std::move(aSettings))
  , mConfig(aConfig)
  , mKeys(aKeys)
  , mModels(aModels)
  , mServices(aServices)
  , mBriefings(aBriefings)
  , mMetrics(aMetrics)
  , mClock(aClock)
{
}

class CallerPort::PendingAnswer
{
public:
  PendingAnswer(CallerPort& aPort, CallerAnswer& aAnswer)
    : mPort(aPort)
    , mAnswer(aAnswer)
  {
    std::lock_guard<std::mutex> lock(mPort.mLock);
    mPort.mPendingAnswers.insert(&mAnswer);
  }
  ~PendingAnswer()
  {
    std::lock_guard<std::mutex> lock(mPort.mLock);
    mPort.mPendingAnswers.erase(&mAnswer);
  }

private:
  CallerPort& mPort;
  CallerAnswer& mAnswer;
};

void
CallerPort::Open()
{
  mSettings.mLimits.mOverloadBody = JsonWrite(ProblemJson(
    FailureOf(ErrorKind::QueueFull, "all connections are in use"), RandomId()));
  mPort = std::make_unique<HttpPort>(
    mSettings.mListen, mSettings.mLimits, [this](auto& aIn, auto& aOut) {
      Handle(aIn, aOut);
    });
}

int
CallerPort::AnswerShuttingDown(TimePoint aUntil)
{
  constexpr Millis kSendTimeout{ 20 }; // per caller that doesn't read
  mPort->LimitSendTime(kSendTimeout);
  std::lock_guard<std::mutex> lock(mLock);
  int cut = 0;
  for (CallerAnswer* answer : mPendingAnswers) {
    bool expired = mClock.Now() >= aUntil;
    cut += expired ||
               answer->AnswerShuttingDown("the shutdown time limit was reached")
             ? 1
             : 0;
  }
  return cut;
}

void
CallerPort::Handle(Request& aRequest, Response& aResponse)
{
  RequestContext context;
  context.mId = RandomId();
  context.mArrived = mClock.Now();
  context.mConfig = mConfig.Current();
  // An order may have run in an earlier attempt at another instance.
  CallerAnswer answer(aResponse,
                      context.mId,
                      aRequest.has("Idempotency-Key") ? RunState::MayHaveRun
                                                      : RunState::NotRun);
  PendingAnswer pending(*this, answer);
  if (mDraining) {
    Refuse(answer, context, RefuseWhileDraining(aRequest));
    return;
  }
  auto failure = FailureIn([&] { return Route(aRequest, answer, context); });
  if (failure) {
    Refuse(answer, context, *failure);
  }
}

Failure
CallerPort::RefuseWhileDraining(Request& aRequest) const
{
  // With the body unread, the connection would be reset before the caller sees
  // the response.
  Outcome([&] {
    return HttpReadBody(aRequest, mSettings.mBodyLimit, mSettings.mBodyTimeout);
  });
  Failure failure = FailureOf(
    ErrorKind::ShuttingDown,
    "this instance is shutting down; send the request to another one");
  if (aRequest.has("Idempotency-Key")) {
    // It doesn't run here, but may have run in an earlier attempt.
    failure.mRun = RunState::MayHaveRun;
  }
  return failure;
}

void
CallerPort::Refuse(CallerAnswer& aAnswer,
                   const RequestContext& aContext,
                   const Failure& aFailure)
{
  const char* kind = ErrorAnswerOf(aFailure.mKind).mName;
  mMetrics.Count("caraway_refusals_total",
                 "kind=\"" + std::string(kind) + "\",tenant=\"" +
                   aContext.mCaller.mTenant + "\"");
  LogInfo("refused",
          { { "request", aContext.mId },
            { "tenant", aContext.mCaller.mTenant },
            { "profile", aContext.mProfile.mName },
            { "kind", kind },
            { "run", RunStateName(aFailure.mRun) },
            { "reason", aFailure.mDetail } });
  aAnswer.Send([&](Response& aResponse) {
    // An unread rest of the body would be parsed as the next request.
    aResponse.setKeepAlive(false);
    ProblemSend(aResponse, aFailure, aContext.mId);
  });
}

Result<void>
CallerPort::Route(Request& aRequest,
                  CallerAnswer& aAnswer,
                  RequestContext& aContext)
{
  BOOST_LEAF_AUTO(caller,
                  mKeys.Authenticate(aRequest.get("Authorization", "")));
  aContext.mCaller = caller;
  std::string path;
  try {
    path = Poco::URI(aRequest.getURI()).getPathEtc();
  } catch (const Poco::Exception&) {
    return Fail(ErrorKind::BadRequest, "the path can't be parsed");
  }
  if (path == "/v1/chat/completions" && aRequest.getMethod() == "POST") {
    return Chat(aRequest, aAnswer, aContext);
  }
  if (path == "/v1/models" && aRequest.getMethod() == "GET") {
    ListModels(aAnswer, aContext);
    return {};
  }
  if (path == "/v1/briefings" && aRequest.getMethod() == "POST") {
    return AcceptBriefing(aRequest, aAnswer, aContext);
  }
  if (path.compare(0, kBriefings.size(), kBriefings) == 0 &&
      aRequest.getMethod() == "GET") {
    return FetchBriefing(aAnswer, aContext, path.substr(kBriefings.size()));
  }
  if (path.compare(0, kServices.size(), kServices) == 0) {
    return Service(aRequest, aAnswer, aContext, path.substr(kServices.size()));
  }
  return Fail(ErrorKind::NotFound,
              "unknown path; the README lists the valid ones");
}

void
CallerPort::ListModels(CallerAnswer& aAnswer, const RequestContext& aContext)
{
  Json::Value json;
  json["object"] = "list";
  json["data"] = Json::Value(Json::arrayValue);
  for (const auto& entry : aContext.mConfig->mProfiles) {
    if (MayUse(entry.second, aContext.mCaller.mTenant)) {
      Json::Value model;
      model["id"] = entry.first;
      model["object"] = "model";
      model["owned_by"] = entry.second.mTenant;
      json["data"].append(model);
    }
  }
  aAnswer.Send([&](Response& aResponse) { JsonSend(aResponse, 200, json); });
}

// A profile of another tenant is reported as unknown, so that its existence
// isn't disclosed.
Result<void>
CallerPort::FindProfile(RequestContext& aContext,
                        const std::string& aName) const
{
  auto profile = aContext.mConfig->mProfiles.find(aName);
  if (profile == aContext.mConfig->mProfiles.end() ||
      !MayUse(profile->second, aContext.mCaller.mTenant)) {
    return Fail(ErrorKind::ProfileUnknown, aName);
  }
  aContext.mProfile = profile->second;
  return {};
}

Result<ModelCall>
CallerPort::ReadChat(Request& aRequest,
                     RequestContext& aContext,
                     bool& aStream) const
{
  BOOST_LEAF_AUTO(
    json, HttpReadJson(aRequest, mSettings.mBodyLimit, mSettings.mBodyTimeout));
  BOOST_LEAF_AUTO(call, ParseChat(json));
  BOOST_LEAF_CHECK(FindProfile(aContext, json["model"].asString()));
  const Profile& profile = aContext.mProfile;
  if (profile.mModel.empty()) {
    return Fail(ErrorKind::BadRequest,
                profile.mName + " is a service: /v1/services/" + profile.mName);
  }
  call.mContext = aContext;
  call.mMaxTokens = call.mMaxTokens == 0
                      ? profile.mMaxTokens
                      : std::min(call.mMaxTokens, profile.mMaxTokens);
  aStream = json["stream"].asBool();
  return call;
}

Result<void>
CallerPort::Chat(Request& aRequest,
                 CallerAnswer& aAnswer,
                 RequestContext& aContext)
{
  bool wantsStream = false;
  BOOST_LEAF_AUTO(call, ReadChat(aRequest, aContext, wantsStream));
  BOOST_LEAF_CHECK(Begin(aAnswer));
  if (!wantsStream) {
    BOOST_LEAF_AUTO(answer,
                    mModels.Run(call, [](const auto&) { return true; }));
    aAnswer.Send([&](Response& aResponse) {
      aResponse.set("X-Request-Id", aContext.mId);
      JsonSend(aResponse, 200, ChatCompletionJson(call, answer));
    });
    return {};
  }
  ChatStream stream(aAnswer, call);
  auto answer = Outcome([&] {
    return mModels.Run(
      call, [&](const std::string& aToken) { return stream.Token(aToken); });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    if (!stream.Begun()) {
      return Fail(*failure);
    }
    stream.SendError(*failure);
    return Fail(*failure);
  }
  stream.Finish(std::get<ModelAnswer>(answer).mFinish);
  return {};
}

// Reports "accepted" only after the briefing is stored at the platform, where
// it survives the loss of every instance.
Result<void>
CallerPort::AcceptBriefing(Request& aRequest,
                           CallerAnswer& aAnswer,
                           RequestContext& aContext)
{
  bool wantsStream = false; // ignored: briefings are fetched, never streamed
  BOOST_LEAF_AUTO(call, ReadChat(aRequest, aContext, wantsStream));

  Briefing briefing;
  briefing.mId = aContext.mId;
  briefing.mCaller = aContext.mCaller;
  briefing.mProfile = aContext.mProfile.mName;
  briefing.mMessages = call.mMessages;
  briefing.mMaxTokens = call.mMaxTokens;
  auto expires = mClock.WallNow() + kBriefingLifetime;
  briefing.mExpires =
    std::chrono::duration_cast<Millis>(expires.time_since_epoch()).count();
  BOOST_LEAF_CHECK(Begin(aAnswer));
  BOOST_LEAF_CHECK(mBriefings.Store(briefing));
  Json::Value answer;
  answer["id"] = briefing.mId;
  answer["state"] = BriefingStateName(briefing.mState);
  aAnswer.Send([&](Response& aResponse) {
    aResponse.set("Location", kBriefings + briefing.mId);
    constexpr int kAccepted = 202;
    JsonSend(aResponse, kAccepted, answer);
  });
  return {};
}

Result<void>
CallerPort::FetchBriefing(CallerAnswer& aAnswer,
                          const RequestContext& aContext,
                          const std::string& aId)
{
  bool validId = aId.size() == kIdDigits &&
                 aId.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!validId) {
    return Fail(ErrorKind::NotFound, "no such briefing");
  }
  BOOST_LEAF_AUTO(stored, mBriefings.Read(aId));
  const Briefing& briefing = stored.mBriefing;
  if (briefing.mCaller.mTenant != aContext.mCaller.mTenant) {
    return Fail(ErrorKind::NotFound, "no such briefing");
  }
  Json::Value answer;
  answer["id"] = briefing.mId;
  answer["state"] = BriefingStateName(briefing.mState);
  if (briefing.mState == BriefingState::Done) {
    answer["result"] = briefing.mAnswer;
  } else if (briefing.mState == BriefingState::Refused) {
    answer["problem"] = briefing.mAnswer;
  }
  aAnswer.Send([&](Response& aResponse) { JsonSend(aResponse, 200, answer); });
  return {};
}

Result<void>
CallerPort::Service(Request& aRequest,
                    CallerAnswer& aAnswer,
                    RequestContext& aContext,
                    const std::string& aPath)
{
  size_t split = std::min(aPath.find_first_of("/?"), aPath.size());
  BOOST_LEAF_CHECK(FindProfile(aContext, aPath.substr(0, split)));
  if (aContext.mProfile.mService.empty()) {
    return Fail(ErrorKind::BadRequest,
                aContext.mProfile.mName + " is a model: /v1/chat/completions");
  }
  BOOST_LEAF_AUTO(
    body, HttpReadBody(aRequest, mSettings.mBodyLimit, mSettings.mBodyTimeout));
  ServiceCall call;
  call.mContext = aContext;
  call.mMethod = aRequest.getMethod();
  call.mPath = aPath.substr(split);
  if (call.mPath.empty() || call.mPath[0] != '/') {
    call.mPath = "/" + call.mPath;
  }
  call.mContentType = aRequest.get("Content-Type", "");
  call.mBody = std::move(body);
  call.mIdempotencyKey = aRequest.get("Idempotency-Key", "");
  if (call.mIdempotencyKey.size() > kIdempotencyKeyLimit) {
    return Fail(ErrorKind::BadRequest,
                "Idempotency-Key is longer than 256 bytes");
  }
  BOOST_LEAF_CHECK(Begin(aAnswer));
  BOOST_LEAF_AUTO(answer, mServices.Run(call));
  mMetrics.Observe(
    "whole",
    aContext.mCaller.mTenant,
    aContext.mProfile.mClass,
    std::chrono::duration_cast<Micros>(mClock.Now() - aContext.mArrived));
  aAnswer.Send([&](Response& aResponse) {
    const ClaimAnswer& stored = answer.mAnswer;
    aResponse.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(stored.mStatus));
    if (!stored.mContentType.empty()) {
      aResponse.setContentType(stored.mContentType);
    }
    aResponse.set("X-Request-Id", aContext.mId);
    if (answer.mReplayed) {
      aResponse.set("Idempotent-Replayed", "true");
    }
    aResponse.sendBuffer(stored.mBody.data(), stored.mBody.size());
  });
  return {};
}

} // namespace caraway
