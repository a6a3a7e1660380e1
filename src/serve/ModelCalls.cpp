#include "serve/ModelCalls.h"

#include <cmath>

#include "base/Digest.h"
#include "base/JsonText.h"
#include "base/Log.h"

namespace caraway {

namespace {

constexpr double kBytesPerToken = 4;
constexpr int kMaxAttempts = 3;

Micros
ElapsedMicros(TimePoint aFrom, TimePoint aTo)
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

// Equal for equal requests at every instance, so that a retry is recognised.
uint64_t
RequestDigest(const ModelCall& aCall)
{
  constexpr size_t kDigits = 15;
  std::string text = aCall.mContext.mProfile.mName + " " +
                     std::to_string(aCall.mMaxTokens) +
                     JsonWrite(aCall.mMessages);
  return std::stoull(DigestHex(text).substr(0, kDigits), nullptr, 16);
}

EngineSlotRequest
SlotRequestFor(const ModelCall& aCall, TimePoint aNow)
{
  const Profile& profile = aCall.mContext.mProfile;
  Millis elapsed =
    std::chrono::duration_cast<Millis>(aNow - aCall.mContext.mArrived);
  EngineSlotRequest request;
  request.mModel = profile.mModel;
  request.mAdapter = profile.mAdapter;
  request.mTenant = aCall.mContext.mCaller.mTenant;
  request.mClass = profile.mClass;
  request.mTokens = ModelCallCost(aCall);
  request.mRequestDigest = RequestDigest(aCall);
  request.mStartWithin = profile.mFirstToken - elapsed;
  request.mColdWithin = profile.mColdStart - elapsed;
  request.mMaxHold = profile.mAnswer + profile.mColdStart;
  return request;
}

GenerateCall
EngineCallOf(const ModelCall& aCall,
             const EngineSlotGrant& aGrant,
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

EngineSlotRelease
ReleaseOf(const EngineSlotGrant& aGrant,
          const GenerateResult& aResult,
          const ModelAnswer& aSoFar)
{
  EngineSlotRelease release;
  release.mEngineSlotId = aGrant.mEngineSlotId;
  release.mTokens = static_cast<double>(aSoFar.mTokens.size());
  release.mModelMissing = aResult.mOutcome == GenerateOutcome::ModelMissing;
  release.mFailed = aResult.mOutcome == GenerateOutcome::NotSent ||
                    aResult.mOutcome == GenerateOutcome::Broken;
  release.mEnded = aResult.mEnded;
  release.mServed = aResult.mOutcome == GenerateOutcome::Complete;
  return release;
}

} // namespace

double
ModelCallCost(const ModelCall& aCall)
{
  return PromptTokens(aCall) + aCall.mMaxTokens;
}

ModelCalls::ModelCalls(EngineSlotFinder& aSlotFinder,
                       ShareClient& aShares,
                       Authenticator& aKeys,
                       LeaveGate& aLeave,
                       Metrics& aMetrics,
                       const Clock& aClock)
  : mSlotFinder(aSlotFinder)
  , mShares(aShares)
  , mKeys(aKeys)
  , mLeave(aLeave)
  , mMetrics(aMetrics)
  , mClock(aClock)
{
}

Result<ModelAnswer>
ModelCalls::Run(const ModelCall& aCall,
                const std::function<bool(const std::string&)>& aOnToken)
{
  const RequestContext& context = aCall.mContext;
  const Tenant& tenant = context.mConfig->mTenants.at(context.mCaller.mTenant);
  BOOST_LEAF_AUTO(
    ticket,
    mShares.Take(tenant, ModelCallCost(aCall), AdmissionDeadline(context)));
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
  mRetries.RecordSuccess();
  return std::get<ModelAnswer>(std::move(answer));
}

Result<void>
ModelCalls::MayStartAttempt(const ModelCall& aCall,
                            const ModelAnswer& aSoFar,
                            bool aSent) const
{
  if (!aSoFar.mTokens.empty()) {
    return mLeave.MayContinue();
  }
  return mLeave.MayStart(aCall.mContext.mArrived +
                           aCall.mContext.mProfile.mAnswer,
                         aSent ? RunState::MayHaveRun : RunState::NotRun,
                         UsualTime(aCall));
}

Millis
ModelCalls::UsualTime(const ModelCall& aCall) const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mRunTimes.UsualTime(aCall.mContext.mProfile.mName,
                             { static_cast<double>(aCall.mMaxTokens), 0 });
}

void
ModelCalls::RecordTime(const ModelCall& aCall, TimePoint aSince)
{
  auto took = std::chrono::duration_cast<Millis>(mClock.Now() - aSince);
  std::lock_guard<std::mutex> lock(mLock);
  mRunTimes.Record(aCall.mContext.mProfile.mName,
                   took,
                   { static_cast<double>(aCall.mMaxTokens), 0 });
}

ModelCalls::Attempt
ModelCalls::GenerateAttempt(
  const ModelCall& aCall,
  const EngineSlotGrant& aGrant,
  const std::function<bool(const std::string&)>& aOnToken,
  ModelAnswer& aSoFar)
{
  const RequestContext& context = aCall.mContext;
  const Profile& profile = context.mProfile;
  TimePoint deadline = context.mArrived + profile.mAnswer;
  Millis left = std::chrono::duration_cast<Millis>(deadline - mClock.Now());
  GenerateCall call = EngineCallOf(aCall, aGrant, aSoFar, left);
  Attempt attempt;
  attempt.mResult = EngineGenerate(call, [&](const std::string& aToken) {
    TimePoint now = mClock.Now();
    if (aSoFar.mTokens.empty()) {
      mMetrics.Observe("first_token",
                       context.mCaller.mTenant,
                       profile.mClass,
                       ElapsedMicros(context.mArrived, now));
    }
    attempt.mKeyError = mKeys.Recheck(context.mCaller);
    if (attempt.mKeyError || now > deadline) {
      return false;
    }
    aSoFar.mTokens.push_back(aToken);
    return aOnToken(aToken);
  });
  return attempt;
}

// Generates, and after a failure resumes behind the tokens already passed on,
// on another engine or the same one, while time, attempts and retry budget
// last.
Result<ModelAnswer>
ModelCalls::Generate(const ModelCall& aCall,
                     const std::function<bool(const std::string&)>& aOnToken,
                     ModelAnswer& aSoFar)
{
  const RequestContext& context = aCall.mContext;
  const Profile& profile = context.mProfile;
  TimePoint deadline = context.mArrived + profile.mAnswer;
  bool offered = false;
  // Tokens of two software versions don't fit together: once the caller has
  // one, only engines of its version go on.
  std::optional<std::string> software;
  Failure last =
    FailureOf(ErrorKind::NoEndpoint, "no engine accepted the request");
  for (int i = 0; i < kMaxAttempts && mClock.Now() < deadline; ++i) {
    if (i > 0 && !mRetries.TryTake()) {
      break;
    }
    BOOST_LEAF_CHECK(MayStartAttempt(aCall, aSoFar, offered));
    InstanceInfo owner;
    // The last attempt stays in this zone, since the link between zones may
    // have broken the others.
    bool lastAttempt = i + 1 == kMaxAttempts;
    auto request = [&] {
      EngineSlotRequest slotRequest = SlotRequestFor(aCall, mClock.Now());
      slotRequest.mNoRedirect = lastAttempt;
      slotRequest.mSoftware = software;
      return slotRequest;
    };
    auto acquired = Outcome(
      [&] { return mSlotFinder.Acquire(request, context.mCaller, owner); });
    if (auto* failure = std::get_if<Failure>(&acquired)) {
      if (!offered) {
        return Fail(*failure);
      }
      last.mDetail += "; on retry: " + failure->mDetail;
      break;
    }
    const EngineSlotGrant& grant = std::get<EngineSlotGrant>(acquired);
    auto refused =
      FailureIn([&] { return MayStartAttempt(aCall, aSoFar, offered); });
    if (refused) {
      mSlotFinder.ReleaseSlot(owner, { grant.mEngineSlotId, 0, false, false });
      return Fail(*refused);
    }
    if (auto keyError = mKeys.Recheck(context.mCaller)) {
      mSlotFinder.ReleaseSlot(owner, { grant.mEngineSlotId, 0, false, false });
      Failure failure =
        FailureOf(*keyError, "the key became invalid while the request waited");
      failure.mRun = offered ? RunState::MayHaveRun : failure.mRun;
      return Fail(failure);
    }
    aSoFar.mCold = aSoFar.mCold || grant.mCold;
    mMetrics.Observe(grant.mCold ? "cold_start" : "wait",
                     context.mCaller.mTenant,
                     profile.mClass,
                     Micros(grant.mWaited));
    TimePoint begun = mClock.Now();
    Attempt attempt = GenerateAttempt(aCall, grant, aOnToken, aSoFar);
    mSlotFinder.ReleaseSlot(owner, ReleaseOf(grant, attempt.mResult, aSoFar));
    if (!software && !aSoFar.mTokens.empty()) {
      software = grant.mSoftware;
    }
    if (attempt.mResult.mOutcome == GenerateOutcome::Complete) {
      aSoFar.mFinish = attempt.mResult.mReason;
      if (!offered) {
        RecordTime(aCall, begun); // of the whole answer, not of its rest
      }
      mMetrics.Observe("whole",
                       context.mCaller.mTenant,
                       profile.mClass,
                       ElapsedMicros(context.mArrived, mClock.Now()));
      return aSoFar;
    }
    if (attempt.mKeyError) {
      Failure failure = FailureOf(
        *attempt.mKeyError, "the key became invalid during the generation");
      failure.mRun = RunState::MayHaveRun;
      return Fail(failure);
    }
    LogInfo("generation_broken",
            { { "request", context.mId },
              { "endpoint", grant.mEndpoint },
              { "reason", attempt.mResult.mReason } });
    if (attempt.mResult.mOutcome == GenerateOutcome::Stopped) {
      return Fail(ErrorKind::EndpointFailed, "stopped");
    }
    if (attempt.mResult.mOutcome == GenerateOutcome::Broken) {
      offered = true;
      last = FailureOf(ErrorKind::EndpointFailed, attempt.mResult.mReason);
    }
  }
  return Fail(last);
}

} // namespace caraway
