// ExchangeChoose.cpp: the choice of a server for a request.
#include "exchange/Exchange.h"

#include <algorithm>

#include "exchange/ExchangeTimes.h"

namespace caraway {

namespace {

// Limits of requests in flight per slot of a server. An engine admits as many
// as it has slots; requests to a plain service are short, so a few can queue
// there and still be answered in time.
constexpr double kEngineRequestsPerSlot = 1.1;

constexpr double kServiceRequestsPerSlot = 3.0;

// Of a request that must not be repeated: beyond any grace period, so that a
// leaving instance starts it only if its deadline lies before the end.
constexpr Millis kUnknownRunTime = std::chrono::hours(1);

// The limit for less urgent classes, see LeavesReserve().
constexpr double kLessUrgentRequestsPerSlot = 1.0;

constexpr int kMostUrgent = 0; // priority

} // namespace

LoadRequest
Exchange::ToLoadRequest() const
{
  Millis left = mRoute->mTarget - kServiceTime - mState.AgeOf(mArrived);
  LoadRequest request{
    mService, mFacts.mModel, mFacts.mAdapter, mPriority, left
  };
  request.mVersion = mVersion.value_or("");
  // It has fewer servers than new requests, and what was sent is lost with it.
  bool goesOn = !mLastEvent.empty() || !mFacts.mLastEvent.empty();
  if (mVersion && goesOn &&
      mState.mServers.Versions().HasOther(mService, *mVersion)) {
    request.mPriority = kMostUrgent;
  }
  request.mPurpose = PurposeOfLoad();
  if (mRegions.Restricts()) {
    request.mExcludedZones = mRegions.ExcludedZones(mState.mServers.Zones());
    request.mZoneBound = !request.mExcludedZones.empty();
  }
  return request;
}

// Whether this request is late if its model must be loaded, for services whose
// servers report their pace.
LoadPurpose
Exchange::PurposeOfLoad() const
{
  const EngineSpec* engine = mConfig->EngineOf(mService);
  if (!engine || !mState.mServers.ReportsPace(mService)) {
    return LoadPurpose::Unstated;
  }
  auto model = engine->mModels.find(mFacts.mModel);
  return model == engine->mModels.end()
           ? LoadPurpose::Unstated
           : PurposeOf(mRoute->mTarget - kServiceTime, model->second);
}

void
Exchange::Dispatch()
{
  if (mFinished) {
    return;
  }
  if (!mRuns.MaySend(Repeatable(), MaxServers())) {
    Fail();
    return;
  }
  // A new request doesn't overtake more urgent ones.
  if (!mWaiting && InOrder() && mOwner.WaitInOrder(mService)) {
    mWaiting = true;
    mOwner.TryInOrder(shared_from_this());
    return;
  }
  DispatchPass pass;
  if (!FindServer(pass) && !mFinished && !mWaiting) {
    mWaiting = true;
    LogWaiting();
    mOwner.WaitForServer(shared_from_this());
  }
}

void
Exchange::LogWaiting()
{
  if (mWaitLogged) {
    return;
  }
  mWaitLogged = true;
  mState.mLog.Line("request_waits")
    .Text("id", mFacts.mId)
    .Text("service", mService)
    .Text("model", mFacts.mModel)
    .Text("adapter", mFacts.mAdapter)
    .Text("tenant", mTenant)
    .Count("class", mPriority)
    .Flag("for_retry", mRetryOwed)
    .Ms("since_ms", mState.AgeOf(mArrived));
}

void
Exchange::StopWaiting()
{
  mWaiting = false;
  mWaitLogged = false;
}

bool
Exchange::TryDispatch(DispatchPass& aPass)
{
  if (mFinished || !mWaiting) {
    return true;
  }
  if (!FindServer(aPass)) {
    if (!mFinished) {
      LogWaiting();
    }
    return mFinished;
  }
  StopWaiting();
  return true;
}

// Once a leaving instance expects no more callers, its parts of the tenants'
// rate limits have been handed to its zone peers.
bool
Exchange::ExpectsCallers() const
{
  return mState.mLeave.ExpectsCallers(mState.Now());
}

// A stream that is cut costs its caller the whole answer. If it may be resumed
// elsewhere it costs no more than a refusal does, so an even chance is enough.
Millis
Exchange::ExpectedRunTime(double aServerLoad) const
{
  RunFacts facts{ mFacts.mExpectedTokens.value_or(0), aServerLoad };
  const RunTimeEstimates& times = mState.mRunTimes;
  return Resumable() ? times.TypicalTime(mRoute->mName, facts)
                     : times.UsualTime(mRoute->mName, facts);
}

bool
Exchange::MayStart(TimePoint aStart, double aServerLoad) const
{
  if (!mState.mLeave.Leaving()) {
    return true;
  }
  if (mStreaming) {
    return mState.mLeave.MayContinue(aStart);
  }
  Millis expected = ExpectedRunTime(aServerLoad);
  if (expected == Millis(0) && !Repeatable()) {
    expected = kUnknownRunTime;
  }
  return mState.mLeave.MayStart(
    aStart, mFinalAnswerBy + kLateAnswerMargin, expected);
}

// After the loop was held up, the caller may have left or given up in events
// that aren't handled yet. Its request would run for nobody.
bool
Exchange::CallerStillWaits()
{
  bool heldUp = mState.mReactor.Lag() >= kMaxLag;
  if (heldUp) {
    mCaller->ReadArrived(); // may finish this exchange
  }
  TimePoint answerBy = heldUp && !mStreaming ? mFirstByteBy : mFinalAnswerBy;
  if (!mFinished && mState.Now() >= answerBy) {
    RefuseTooLate();
  }
  return !mFinished;
}

bool
Exchange::OnEngine() const
{
  auto service = mConfig->mServices.find(mService);
  return service != mConfig->mServices.end() &&
         service->second.mEngine.has_value();
}

// Whether the request has to wait before a server is chosen for it. It waits
// once for as long as a check may take, however often the process stands still.
bool
Exchange::AwaitFreshFeeds()
{
  mState.NoteStandstill();
  if (!mState.InDoubt()) {
    return false;
  }
  TimePoint now = mState.Now();
  mDoubtedAt = mDoubtedAt == TimePoint() ? now : mDoubtedAt;
  mFreshnessCheck.Check({});
  return now - mDoubtedAt <
         FreshnessCheck::MaxTime(mState.mReactor.LastDelay());
}

std::set<std::string>
Exchange::ExcludedZones() const
{
  const std::set<std::string>& evacuated = mState.mEvacuations.Zones();
  if (!mRegions.Restricts()) {
    return evacuated;
  }
  std::set<std::string> zones = mRegions.ExcludedZones(mState.mServers.Zones());
  zones.insert(evacuated.begin(), evacuated.end());
  return zones;
}

ServerRequirements
Exchange::RequirementsOf() const
{
  bool engine = OnEngine();
  ServerRequirements requirements;
  requirements.mService = mService;
  requirements.mModel = engine ? mFacts.mModel : "";
  requirements.mAdapter = engine ? mFacts.mAdapter : "";
  requirements.mZone = mState.mSettings.mZone;
  requirements.mExcluded = mBadServers;
  requirements.mExcludedZones = ExcludedZones();
  requirements.mVersion = mVersion;
  requirements.mInstances = mState.mInstances;
  requirements.mMaxPerSlot =
    engine ? kEngineRequestsPerSlot : kServiceRequestsPerSlot;
  if (LeavesReserve()) {
    requirements.mMaxPerSlot = kLessUrgentRequestsPerSlot;
  }
  if (ServersLeft() <= 0) {
    requirements.mOnly = mTriedServers;
  }
  requirements.mPromptTokens = mFacts.mPromptTokens;
  requirements.mTarget = mRoute->mTarget;
  auto service = mConfig->mServices.find(mService);
  if (service != mConfig->mServices.end()) {
    requirements.mGapAim = service->second.mGapAim;
  }
  return requirements;
}

ServerChoice
Exchange::ChooseServer(DispatchPass& aPass)
{
  ServerRequirements requirements = RequirementsOf();
  bool anyServer = requirements.mExcluded.empty() && requirements.mOnly.empty();
  std::string key;
  if (anyServer) {
    bool leavesReserve = requirements.mMaxPerSlot == kLessUrgentRequestsPerSlot;
    key = mService + " " + requirements.mModel + " " + requirements.mAdapter +
          " " + mVersion.value_or("") + (leavesReserve ? " r" : "");
    if (mRegions.Restricts()) {
      for (const std::string& zone : requirements.mExcludedZones) {
        key += "\n" + zone;
      }
    }
    auto known = aPass.mWithoutServer.find(key);
    if (known != aPass.mWithoutServer.end()) {
      return known->second;
    }
  }
  ServerChoice choice =
    mState.mServers.Choose(requirements, mState.Now(), mState.mRandom);
  if (anyServer && !choice.mBackend) {
    aPass.mWithoutServer.emplace(std::move(key), choice);
  }
  return choice;
}

bool
Exchange::FindServer(DispatchPass& aPass)
{
  auto self = shared_from_this(); // CallerStillWaits may finish it
  if (!MayStart(mState.Now())) {
    RefuseShuttingDown();
    return true;
  }
  if (RefuseIfBlocked()) {
    return true;
  }
  if (AwaitFreshFeeds()) {
    return false; // tried again within milliseconds
  }
  if (!CallerStillWaits() || !FollowConfig() || HandOver() ||
      RefuseWithoutVersion()) {
    return true;
  }
  ServerChoice choice = ChooseServer(aPass);
  if (choice.mBackend) {
    // A stream that fits on an idle server may not fit on this one.
    if (!MayStart(mState.Now(), choice.mBackend->Load())) {
      RefuseShuttingDown();
      return true;
    }
    if (mRetryOwed && !SpendRetry()) {
      return RefuseWithoutRetry();
    }
    mRetryOwed = false;
    StopWaiting();
    RecordInOrder();
    Send(*choice.mBackend);
    return true;
  }
  if (choice.mZonesExcluded) {
    RefuseWithoutZone();
    return true;
  }
  bool needsLoad = !choice.mHeld || choice.mOnlyLimited;
  if (OnEngine() && needsLoad && !mFacts.mModel.empty()) {
    mColdStart = mColdStart || !choice.mHeld;
    mLoadRequester.RequestLoad(ToLoadRequest());
  }
  if (!choice.mNeedsPermit.empty()) {
    AskForPermit(choice.mNeedsPermit);
  }
  return choice.mOnlyLimited ? RefuseIfRateLimited()
                             : RefuseIfUnmeetable(choice, aPass);
}

} // namespace caraway
