#include "serve/ClaimDriver.h"

#include <thread>

#include "base/Digest.h"
#include "base/Incarnation.h"
#include "base/Log.h"
#include "base/RandomId.h"
#include "serve/ClaimCodec.h"

namespace caraway {

namespace {

constexpr const char* kKind = "claims";
// The platform holds values up to a megabyte; base64 adds a third.
constexpr size_t kMaxKeptAnswerBytes = 512 * 1024;
constexpr Millis kQueryWait{ 1000 };
constexpr Millis kQueryTimeout{ 2500 };
constexpr const char* kStatusNames[] = { "running",
                                         "gave_up",
                                         "answered",
                                         "lost" };

// Prefixed by the tenant's length, so that tenant "a" with key "bc" and tenant
// "ab" with key "c" get different names.
std::string
NameOf(const Order& aOrder)
{
  return DigestHex(std::to_string(aOrder.mTenant.size()) + ":" +
                   aOrder.mTenant + aOrder.mKey);
}

ClaimEvent
EventOf(ClaimEventKind aKind)
{
  ClaimEvent event;
  event.mKind = aKind;
  return event;
}

ClaimEvent
EventOfStatus(const AttemptStatus& aStatus)
{
  if (!aStatus.mKnown) {
    return EventOf(ClaimEventKind::PeerUnknown);
  }
  switch (aStatus.mStatus) {
    case ClaimAttemptStatus::Running:
      return EventOf(ClaimEventKind::PeerRunning);
    case ClaimAttemptStatus::GaveUp:
      return EventOf(ClaimEventKind::PeerGaveUp);
    case ClaimAttemptStatus::Lost:
      return EventOf(ClaimEventKind::PeerLost);
    case ClaimAttemptStatus::Answered:
      break;
  }
  ClaimEvent event = EventOf(ClaimEventKind::PeerAnswered);
  event.mRecord.mAnswer = aStatus.mAnswer;
  return event;
}

} // namespace

ClaimDriver::ClaimDriver(std::string aSelf,
                         PlatformApi& aPlatform,
                         PeerClient& aPeers,
                         ClaimRegistry& aRegistry,
                         WorkerPool& aWorkers,
                         const Clock& aClock)
  : mSelf(std::move(aSelf))
  , mPlatform(aPlatform)
  , mPeers(aPeers)
  , mRegistry(aRegistry)
  , mWorkers(aWorkers)
  , mClock(aClock)
{
}

Result<OrderAnswer>
ClaimDriver::Run(const Order& aOrder,
                 const std::function<ClaimEvent()>& aSendOrder)
{
  Attempt attempt;
  attempt.mName = NameOf(aOrder);
  attempt.mState.mSelf = mSelf;
  attempt.mState.mNonce = RandomId();
  attempt.mState.mBodyDigest = DigestHex(aOrder.mContent);
  attempt.mState.mDeadline = aOrder.mDeadline;
  mRegistry.Begin(attempt.mState.mNonce);
  bool offered = false;
  ClaimEvent event;
  for (;;) {
    ClaimAction action = ClaimStep(attempt.mState, event, mClock.Now());
    if (action.mKind == ClaimActionKind::FinishAnswer) {
      AttemptStatus status;
      status.mStatus =
        offered ? ClaimAttemptStatus::Answered : ClaimAttemptStatus::GaveUp;
      status.mAnswer = offered ? action.mAnswer : ClaimAnswer();
      mRegistry.End(attempt.mState.mNonce, status);
      return OrderAnswer{ action.mAnswer, action.mReplayed };
    }
    if (action.mKind == ClaimActionKind::FinishRefuse) {
      AttemptStatus status;
      status.mStatus =
        offered ? ClaimAttemptStatus::Lost : ClaimAttemptStatus::GaveUp;
      mRegistry.End(attempt.mState.mNonce, status);
      // Without the caller's idempotency key, since details are logged.
      Failure failure =
        FailureOf(action.mError, "order of claim " + attempt.mName);
      failure.mRun = action.mRun;
      return Fail(failure);
    }
    event = Perform(attempt, action, aSendOrder);
    // Once an endpoint was offered the order, the attempt must never be
    // reported to a peer as GaveUp.
    offered = offered || event.mKind == ClaimEventKind::Answered ||
              event.mKind == ClaimEventKind::AnswerLost;
  }
}

ClaimEvent
ClaimDriver::Perform(Attempt& aAttempt,
                     const ClaimAction& aAction,
                     const std::function<ClaimEvent()>& aSendOrder)
{
  ClaimRecord claim;
  claim.mBodyDigest = aAttempt.mState.mBodyDigest;
  claim.mCreator = mSelf;
  claim.mNonce = aAttempt.mState.mNonce;
  switch (aAction.mKind) {
    case ClaimActionKind::Create:
      return Write(aAttempt, claim, 0);
    case ClaimActionKind::TakeOver:
      return Write(aAttempt, claim, aAction.mVersion);
    case ClaimActionKind::Read:
      return Read(aAttempt);
    case ClaimActionKind::QueryCreator:
      return QueryCreator(aAction);
    case ClaimActionKind::ForwardOrder:
      return aSendOrder();
    case ClaimActionKind::StoreAnswer:
      return StoreRecord(
        aAttempt, ClaimRecordState::Answered, aAction.mVersion);
    case ClaimActionKind::StoreLost:
      return StoreRecord(aAttempt, ClaimRecordState::Lost, aAction.mVersion);
    case ClaimActionKind::Release:
      return StoreRecord(
        aAttempt, ClaimRecordState::Released, aAction.mVersion);
    default:
      return EventOf(ClaimEventKind::NoPlatform);
  }
}

ClaimEvent
ClaimDriver::Write(const Attempt& aAttempt,
                   const ClaimRecord& aRecord,
                   int64_t aExpected)
{
  WriteResult result = mPlatform.Write(
    { kKind, aAttempt.mName, aExpected, RandomId(), ClaimJson(aRecord) });
  ClaimEvent event;
  switch (result.mOutcome) {
    case WriteOutcome::Done:
      event.mKind = ClaimEventKind::Written;
      break;
    case WriteOutcome::Conflict:
      event.mKind = result.mObject.mVersion == 0
                      ? ClaimEventKind::Absent
                      : ClaimEventKind::RecordPresent;
      event.mRecord = ClaimParse(result.mObject.mValue);
      break;
    default:
      event.mKind = ClaimEventKind::NoPlatform;
      break;
  }
  event.mVersion = result.mObject.mVersion;
  return event;
}

ClaimEvent
ClaimDriver::Read(const Attempt& aAttempt)
{
  auto read = Outcome([&] { return mPlatform.Read(kKind, aAttempt.mName); });
  if (auto* failure = std::get_if<Failure>(&read)) {
    return EventOf(failure->mKind == ErrorKind::NotFound
                     ? ClaimEventKind::Absent
                     : ClaimEventKind::NoPlatform);
  }
  const PlatformObject& object = std::get<PlatformObject>(read);
  ClaimEvent event = EventOf(ClaimEventKind::RecordPresent);
  event.mVersion = object.mVersion;
  event.mRecord = ClaimParse(object.mValue);
  return event;
}

ClaimLookup
ClaimDriver::LookUp(const Order& aOrder)
{
  Attempt attempt;
  attempt.mName = NameOf(aOrder);
  ClaimEvent event = Read(attempt);
  if (event.mKind == ClaimEventKind::NoPlatform) {
    return ClaimLookup::Unknown;
  }
  bool unclaimed = event.mKind == ClaimEventKind::Absent ||
                   event.mRecord.mState == ClaimRecordState::Released;
  return unclaimed ? ClaimLookup::Free : ClaimLookup::Held;
}

ClaimEvent
ClaimDriver::QueryCreator(const ClaimAction& aAction)
{
  if (aAction.mPeer == mSelf) {
    return EventOfStatus(mRegistry.Await(aAction.mNonce, kQueryWait));
  }
  Json::Value params;
  params["of"] = aAction.mPeer;
  params["nonce"] = aAction.mNonce;
  auto answer = Outcome([&] {
    return mPeers.Call(
      IncarnationAddress(aAction.mPeer), "claim.ask", params, kQueryTimeout);
  });
  auto* json = std::get_if<Json::Value>(&answer);
  if (!json) {
    return EventOf(ClaimEventKind::PeerUnknown);
  }
  AttemptStatus status;
  status.mKnown = (*json)["known"].asBool();
  std::string statusName = (*json)["standing"].asString();
  status.mStatus = ClaimAttemptStatus::Lost;
  for (int i = 0; i < 4; ++i) {
    if (statusName == kStatusNames[i]) {
      status.mStatus = static_cast<ClaimAttemptStatus>(i);
    }
  }
  status.mAnswer = ClaimAnswerParse((*json)["answer"]);
  return EventOfStatus(status);
}

// An earlier incarnation of this process may have made the attempt. Only
// queries addressed to this incarnation are answered.
Json::Value
ClaimDriver::OnQuery(const Json::Value& aParams)
{
  Json::Value answer;
  if (aParams["of"].asString() != mSelf) {
    answer["known"] = false;
    return answer;
  }
  AttemptStatus status =
    mRegistry.Await(aParams["nonce"].asString(), kQueryWait);
  answer["known"] = status.mKnown;
  answer["standing"] = kStatusNames[static_cast<int>(status.mStatus)];
  answer["answer"] = ClaimAnswerJson(status.mAnswer);
  return answer;
}

ClaimEvent
ClaimDriver::StoreRecord(const Attempt& aAttempt,
                         ClaimRecordState aState,
                         int64_t aVersion)
{
  ClaimRecord record;
  record.mState = aState;
  record.mBodyDigest = aAttempt.mState.mBodyDigest;
  record.mCreator = mSelf;
  record.mNonce = aAttempt.mState.mNonce;
  if (aState == ClaimRecordState::Answered) {
    record.mAnswer = aAttempt.mState.mAnswer;
    record.mAnswer.mKept = record.mAnswer.mBody.size() <= kMaxKeptAnswerBytes;
  }
  ClaimEvent event = Write(aAttempt, record, aVersion);
  if (event.mKind == ClaimEventKind::NoPlatform) {
    StoreInBackground(aAttempt, record, aVersion);
  }
  return event;
}

// Retries in the background, so that the caller doesn't wait while the platform
// is down. Until the write succeeds the registry answers for the attempt; if
// this process dies first, a duplicate gets "may have run".
void
ClaimDriver::StoreInBackground(const Attempt& aAttempt,
                               const ClaimRecord& aRecord,
                               int64_t aVersion)
{
  LogInfo("claim_kept_later", { { "claim", aAttempt.mName } });
  mWorkers.Submit([this, aAttempt, aRecord, aVersion] {
    constexpr int kMaxAttempts = 40;
    constexpr Millis kFirstPause{ 200 };
    constexpr Millis kMaxPause{ 15000 };
    Millis pause = kFirstPause;
    for (int i = 0; i < kMaxAttempts; ++i) {
      std::this_thread::sleep_for(pause);
      pause = std::min(pause * 2, kMaxPause);
      if (Write(aAttempt, aRecord, aVersion).mKind !=
          ClaimEventKind::NoPlatform) {
        return;
      }
    }
    LogWarn("claim_not_kept", { { "claim", aAttempt.mName } });
  });
}

void
ClaimDriver::AddMethods(
  const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("claim.ask", [this](const auto& aParams) { return OnQuery(aParams); });
}

} // namespace caraway
