#include "serve/ModelCalls.h"

#include <cmath>

#include "base/Digest.h"
#include "base/JsonText.h"
#include "base/Log.h"

namespace caraway {

namespace {

constexpr double kBytesPerToken = 4;
constexpr int kTries = 3;
// An owner answers within ModelOwner::kWait, or loads an adapter first.
constexpr Millis kOwnerTime{ 2700 };
constexpr Millis kReturnTime{ 500 };

Micros
MicrosBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<Micros>(aTo - aFrom);
}

double
PromptTokens(const ModelCall& aCall)
{
  size_t bytes = 0;
  for (const Json::Value& message : aCall.mMessages) {
    bytes += message["content"].asString().size();
  }
  return std::ceil(static_cast<double>(bytes) / kBytesPerToken);
}

// The same for the same request sent again, at whichever instance.
uint64_t
LikeOf(const ModelCall& aCall)
{
  constexpr size_t kDigits = 15;
  std::string text = aCall.mContext.mProfile.mName + " " +
                     std::to_string(aCall.mMaxTokens) +
                     JsonWrite(aCall.mMessages);
  return std::stoull(DigestHex(text).substr(0, kDigits), nullptr, 16);
}

PlaceRequest
PlaceFor(const ModelCall& aCall, TimePoint aNow)
{
  const Profile& profile = aCall.mContext.mProfile;
  Millis passed =
    std::chrono::duration_cast<Millis>(aNow - aCall.mContext.mArrived);
  PlaceRequest request;
  request.mModel = profile.mModel;
  request.mAdapter = profile.mAdapter;
  request.mTenant = aCall.mContext.mCaller.mTenant;
  request.mClass = profile.mClass;
  request.mTokens = ModelCallCost(aCall);
  request.mLike = LikeOf(aCall);
  request.mStartWithin = profile.mFirstToken - passed;
  request.mColdWithin = profile.mColdStart - passed;
  request.mHoldFor = profile.mAnswer + profile.mColdStart;
  return request;
}

std::string
OwnerKey(const PlaceRequest& aRequest)
{
  return "model/" + aRequest.mModel;
}

// A refusal by an owner elsewhere, back as the failure it was.
leaf::error_id
PeerRefusal(const Json::Value& aJson)
{
  Failure failure = FailureOf(ErrorKindOf(aJson["kind"].asCString()),
                              aJson["detail"].asString());
  failure.mRetryAfter = Millis(aJson["retry"].asInt64());
  failure.mRun = RunState::NotRun;
  return Fail(failure);
}

GenerateCall
EngineCallOf(const ModelCall& aCall,
             const PlaceGrant& aGrant,
             const ModelAnswer& aSoFar,
             Millis aLeft)
{
  const RequestContext& context = aCall.mContext;
  const Profile& profile = context.mProfile;
  GenerateCall call;
  call.mAddress = aGrant.mAddress;
  call.mRequestId = context.mId;
  call.mModel = profile.mModel;
  call.mVersion = context.mConfig->mModels.at(profile.mModel).mVersion;
  call.mAdapter = profile.mAdapter;
  call.mMessages = aCall.mMessages;
  call.mMaxTokens = aCall.mMaxTokens;
  call.mClass = profile.mClass;
  call.mSoFar = aSoFar.mTokens;
  call.mFirstToken = std::max(aLeft, Millis(1));
  return call;
}

PlaceReturn
ReturnOf(const PlaceGrant& aGrant,
         const GenerateResult& aResult,
         const ModelAnswer& aSoFar)
{
  PlaceReturn back;
  back.mPlace = aGrant.mPlace;
  back.mTokens = static_cast<double>(aSoFar.mTokens.size());
  back.mGone = aResult.mEnd == GenerateEnd::Gone;
  back.mFailed = aResult.mEnd == GenerateEnd::NotOffered ||
                 aResult.mEnd == GenerateEnd::Broken;
  return back;
}

Json::Value
GrantJson(const std::function<Result<PlaceGrant>()>& aAsk)
{
  auto answer = Outcome(aAsk);
  if (auto* failure = std::get_if<Failure>(&answer)) {
    Json::Value json;
    json["kind"] = ErrorAnswerOf(failure->mKind).mName;
    json["detail"] = failure->mDetail;
    json["retry"] = Json::Int64(failure->mRetryAfter.count());
    return json;
  }
  return PlaceGrantJson(std::get<PlaceGrant>(answer));
}

} // namespace

double
ModelCallCost(const ModelCall& aCall)
{
  return PromptTokens(aCall) + aCall.mMaxTokens;
}

ModelCalls::ModelCalls(ModelOwner& aOwner,
                       Members& aMembers,
                       PeerClient& aPeers,
                       ShareClient& aShares,
                       Authenticator& aKeys,
                       Metrics& aMetrics,
                       const Clock& aClock)
  : mOwner(aOwner)
  , mMembers(aMembers)
  , mPeers(aPeers)
  , mShares(aShares)
  , mKeys(aKeys)
  , mMetrics(aMetrics)
  , mClock(aClock)
{
}

// Our zone's owner first: it knows whether there is a replica here, and
// otherwise sends us to the model's home zone. Where that fails, back to our
// zone, which then loads the model itself.
Result<PlaceGrant>
ModelCalls::Acquire(const ModelCall& aCall, bool aHere, InstanceInfo& aOwner)
{
  const Caller& caller = aCall.mContext.mCaller;
  PlaceRequest request = PlaceFor(aCall, mClock.Now());
  request.mHere = aHere;
  Result<PlaceGrant> grant = AcquireNear(request, caller, aOwner);
  if (!grant || grant->mAway.empty()) {
    return grant;
  }
  std::string zone = grant->mAway;
  bool silent = false;
  if (auto away = AcquireAway(request, zone, caller, aOwner, silent)) {
    return std::move(*away);
  }
  request = PlaceFor(aCall, mClock.Now());
  request.mFailedZone = zone;
  request.mZoneSilent = silent;
  return AcquireNear(request, caller, aOwner);
}

std::optional<Result<PlaceGrant>>
ModelCalls::AcquireAway(PlaceRequest aRequest,
                        const std::string& aZone,
                        const Caller& aCaller,
                        InstanceInfo& aOwner,
                        bool& aSilent)
{
  auto owner = mMembers.OwnerIn(aZone, OwnerKey(aRequest));
  // Found by another request, and not known to our zone's owner.
  aSilent = !owner || mMembers.AnsweringZones().count(aZone) == 0;
  if (aSilent) {
    return std::nullopt;
  }
  aOwner = *owner;
  aRequest.mHere = true; // else two zones could send it to and fro
  auto answer = Outcome([&]() -> Result<PlaceGrant> {
    auto answered = AcquireFrom(aRequest, aCaller, aOwner);
    aSilent = !answered;
    return aSilent ? Fail(ErrorKind::NoEndpoint, "the home is silent")
                   : std::move(*answered);
  });
  if (aSilent) {
    mMetrics.Count("caraway_home_silent_total", "zone=\"" + aZone + "\"");
    mMembers.Dead(aOwner.mPeerAddress);
    mMembers.DoubtZone(aZone);
    return std::nullopt;
  }
  if (auto* grant = std::get_if<PlaceGrant>(&answer)) {
    mMetrics.Count("caraway_served_away_total", "zone=\"" + aZone + "\"");
    return Result<PlaceGrant>(std::move(*grant));
  }
  const Failure& failure = std::get<Failure>(answer);
  bool elsewhere = failure.mKind == ErrorKind::NoEndpoint ||
                   failure.mKind == ErrorKind::NoCapacity;
  if (elsewhere) {
    return std::nullopt;
  }
  return Result<PlaceGrant>(Fail(failure));
}

// The zone's owner of the model; if it doesn't answer, the next; at last
// ourselves. A second owner decides by the same conditional updates.
Result<PlaceGrant>
ModelCalls::AcquireNear(const PlaceRequest& aRequest,
                        const Caller& aCaller,
                        InstanceInfo& aOwner)
{
  constexpr int kOwners = 2;
  for (int i = 0; i < kOwners; ++i) {
    aOwner = mMembers.Owner(OwnerKey(aRequest));
    if (aOwner.mId == mMembers.Self().mId) {
      break;
    }
    if (auto answer = AcquireFrom(aRequest, aCaller, aOwner)) {
      return std::move(*answer);
    }
    mMembers.Dead(aOwner.mPeerAddress);
  }
  aOwner = mMembers.Self();
  Result<PlaceGrant> grant = mOwner.Acquire(aRequest);
  while (grant && grant->mTicket != 0) {
    BOOST_LEAF_CHECK(StillValid(aCaller));
    grant = mOwner.Await(grant->mTicket);
  }
  return grant;
}

// Asked between the rounds of waiting. A withdrawn key would otherwise hold its
// place in the queue until the load's end, and its caller in the dark.
Result<void>
ModelCalls::StillValid(const Caller& aCaller) const
{
  if (auto trouble = mKeys.Trouble(aCaller)) {
    return Fail(*trouble, "the key, while the request waited");
  }
  return {};
}

// Short calls, again and again: an owner that is frozen or dies while we wait
// is noticed within one of them.
std::optional<Result<PlaceGrant>>
ModelCalls::AcquireFrom(const PlaceRequest& aRequest,
                        const Caller& aCaller,
                        const InstanceInfo& aOwner)
{
  const char* method = "model.acquire";
  Json::Value params = PlaceRequestJson(aRequest);
  for (;;) {
    auto answer = Outcome([&] {
      return mPeers.Call(aOwner.mPeerAddress, method, params, kOwnerTime);
    });
    auto* json = std::get_if<Json::Value>(&answer);
    if (!json) {
      return std::nullopt;
    }
    if (json->isMember("kind")) {
      return Result<PlaceGrant>(PeerRefusal(*json));
    }
    if (!json->isMember("ticket")) {
      return Result<PlaceGrant>(PlaceGrantParse(*json));
    }
    if (auto valid = StillValid(aCaller); !valid) {
      return Result<PlaceGrant>(valid.error());
    }
    method = "model.await";
    params = *json;
  }
}

void
ModelCalls::Return(const InstanceInfo& aOwner, const PlaceReturn& aReturn)
{
  if (aOwner.mId == mMembers.Self().mId) {
    mOwner.Return(aReturn);
    return;
  }
  Outcome([&] {
    return mPeers.Call(aOwner.mPeerAddress,
                       "model.return",
                       PlaceReturnJson(aReturn),
                       kReturnTime);
  });
}

Result<ModelAnswer>
ModelCalls::Run(const ModelCall& aCall,
                const std::function<bool(const std::string&)>& aOnToken)
{
  const RequestContext& context = aCall.mContext;
  const Tenant& tenant = context.mConfig->mTenants.at(context.mCaller.mTenant);
  BOOST_LEAF_AUTO(ticket, mShares.Take(tenant, ModelCallCost(aCall)));
  ModelAnswer soFar;
  soFar.mPromptTokens = PromptTokens(aCall);
  auto answer = Outcome([&] { return Generate(aCall, aOnToken, soFar); });
  bool ran =
    !soFar.mTokens.empty() || std::holds_alternative<ModelAnswer>(answer);
  double used =
    ran ? soFar.mPromptTokens + static_cast<double>(soFar.mTokens.size()) : 0;
  mShares.Settle(ticket, used);
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return Fail(*failure);
  }
  mRetries.Succeeded();
  return std::get<ModelAnswer>(std::move(answer));
}

ModelCalls::Try
ModelCalls::GenerateOnce(
  const ModelCall& aCall,
  const PlaceGrant& aGrant,
  const std::function<bool(const std::string&)>& aOnToken,
  ModelAnswer& aSoFar)
{
  const RequestContext& context = aCall.mContext;
  const Profile& profile = context.mProfile;
  TimePoint deadline = context.mArrived + profile.mAnswer;
  Millis left = std::chrono::duration_cast<Millis>(deadline - mClock.Now());
  GenerateCall call = EngineCallOf(aCall, aGrant, aSoFar, left);
  Try once;
  once.mResult = EngineGenerate(call, [&](const std::string& aToken) {
    TimePoint now = mClock.Now();
    if (aSoFar.mTokens.empty()) {
      mMetrics.Observe("first_token",
                       context.mCaller.mTenant,
                       profile.mClass,
                       MicrosBetween(context.mArrived, now));
    }
    once.mKeyTrouble = mKeys.Trouble(context.mCaller);
    if (once.mKeyTrouble || now > deadline) {
      return false;
    }
    aSoFar.mTokens.push_back(aToken);
    return aOnToken(aToken);
  });
  return once;
}

// Takes up after the tokens that were passed on, elsewhere or at the same
// engine, while the time, the tries and the retry budget last.
Result<ModelAnswer>
ModelCalls::Generate(const ModelCall& aCall,
                     const std::function<bool(const std::string&)>& aOnToken,
                     ModelAnswer& aSoFar)
{
  const RequestContext& context = aCall.mContext;
  const Profile& profile = context.mProfile;
  TimePoint deadline = context.mArrived + profile.mAnswer;
  bool offered = false;
  Failure last = FailureOf(ErrorKind::NoEndpoint, "no engine took it");
  for (int i = 0; i < kTries && mClock.Now() < deadline; ++i) {
    if (i > 0 && !mRetries.Spend()) {
      break;
    }
    InstanceInfo owner;
    // The last try is here: what broke the others may lie between the zones.
    bool here = i + 1 == kTries;
    auto acquired = Outcome([&] { return Acquire(aCall, here, owner); });
    if (auto* failure = std::get_if<Failure>(&acquired)) {
      if (!offered) {
        return Fail(*failure);
      }
      last.mDetail += "; then: " + failure->mDetail;
      break;
    }
    const PlaceGrant& grant = std::get<PlaceGrant>(acquired);
    if (auto trouble = mKeys.Trouble(context.mCaller)) {
      Return(owner, { grant.mPlace, 0, false, false });
      Failure failure =
        FailureOf(*trouble, "the key, while the request waited");
      failure.mRun = offered ? RunState::MayHaveRun : failure.mRun;
      return Fail(failure);
    }
    aSoFar.mCold = aSoFar.mCold || grant.mCold;
    mMetrics.Observe(grant.mCold ? "cold_start" : "wait",
                     context.mCaller.mTenant,
                     profile.mClass,
                     Micros(grant.mWaited));
    Try once = GenerateOnce(aCall, grant, aOnToken, aSoFar);
    Return(owner, ReturnOf(grant, once.mResult, aSoFar));
    if (once.mResult.mEnd == GenerateEnd::Complete) {
      aSoFar.mFinish = once.mResult.mReason;
      mMetrics.Observe("whole",
                       context.mCaller.mTenant,
                       profile.mClass,
                       MicrosBetween(context.mArrived, mClock.Now()));
      return aSoFar;
    }
    if (once.mKeyTrouble) {
      Failure failure = FailureOf(*once.mKeyTrouble, "the key, meanwhile");
      failure.mRun = RunState::MayHaveRun;
      return Fail(failure);
    }
    LogInfo("generation_broken",
            { { "request", context.mId },
              { "endpoint", grant.mEndpoint },
              { "reason", once.mResult.mReason } });
    if (once.mResult.mEnd == GenerateEnd::Stopped) {
      return Fail(ErrorKind::EndpointFailed, "stopped");
    }
    if (once.mResult.mEnd == GenerateEnd::Broken) {
      offered = true;
      last = FailureOf(ErrorKind::EndpointFailed, once.mResult.mReason);
    }
  }
  return Fail(last);
}

void
ModelCalls::AddMethods(const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("model.acquire", [this](const Json::Value& aParams) {
    return GrantJson(
      [&] { return mOwner.Acquire(PlaceRequestParse(aParams)); });
  });
  aAdd("model.await", [this](const Json::Value& aParams) {
    return GrantJson(
      [&] { return mOwner.Await(aParams["ticket"].asUInt64()); });
  });
  aAdd("model.return", [this](const Json::Value& aParams) {
    mOwner.Return(PlaceReturnParse(aParams));
    return Json::Value(Json::objectValue);
  });
}

} // namespace caraway
