#include "serve/BriefingRunner.h"

#include "base/EraseIf.h"
#include "base/Log.h"
#include "serve/ChatReply.h"
#include "serve/Problem.h"

namespace caraway {

namespace {

constexpr Millis kRetryInterval{ 2000 }; // per briefing
constexpr size_t kMaxConcurrent = 4;     // per instance

std::optional<Briefing>
Finished(Briefing aBriefing, BriefingState aState, Json::Value aAnswer)
{
  aBriefing.mState = aState;
  aBriefing.mAnswer = std::move(aAnswer);
  aBriefing.mMessages = Json::Value(); // no longer needed
  return aBriefing;
}

} // namespace

BriefingRunner::BriefingRunner(BriefingStore& aStore,
                               ModelCalls& aModels,
                               Members& aMembers,
                               ConfigHolder& aConfig,
                               WorkerPool& aWorkers,
                               const LeaveGate& aLeave,
                               const Clock& aClock)
  : mStore(aStore)
  , mSteps(aStore, aClock)
  , mModels(aModels)
  , mMembers(aMembers)
  , mConfig(aConfig)
  , mWorkers(aWorkers)
  , mLeave(aLeave)
  , mClock(aClock)
{
}

size_t
BriefingRunner::Postponed() const
{
  std::lock_guard<std::mutex> lock(mLock);
  return mNotBefore.size();
}

void
BriefingRunner::Round()
{
  ForgetPastDelays();
  const std::string& self = mMembers.Self().mId;
  for (int i = 0; i < BriefingStore::kLists && !mLeave.Leaving(); ++i) {
    std::string key = "briefings/" + std::to_string(i);
    if (mMembers.FleetOwner(key).mId != self) {
      continue;
    }
    auto open = Outcome([&] { return mStore.OpenIds(i); });
    auto* ids = std::get_if<std::set<std::string>>(&open);
    if (!ids) {
      continue;
    }
    for (const std::string& id : *ids) {
      StartDue(id);
    }
  }
}

// Those of briefings that ended elsewhere would stay.
void
BriefingRunner::ForgetPastDelays()
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  EraseIf(mNotBefore,
          [now](const auto& aDelay) { return now >= aDelay.second; });
}

void
BriefingRunner::StartDue(const std::string& aId)
{
  std::lock_guard<std::mutex> lock(mLock);
  // A leave may have begun while the list was read.
  if (mLeave.Leaving()) {
    return;
  }
  if (mNotBefore.count(aId) != 0 || mRunning.size() >= kMaxConcurrent ||
      !mRunning.insert(aId).second) {
    return;
  }
  mWorkers.Submit([this, aId] { Run(aId); });
}

void
BriefingRunner::Run(const std::string& aId)
{
  // Not if it waited for a worker until a leave began.
  bool ended =
    !mLeave.Leaving() && mSteps.Process(aId, [this](const Briefing& aBriefing) {
      return TryRun(aBriefing);
    });
  std::lock_guard<std::mutex> lock(mLock);
  mRunning.erase(aId);
  mNotBefore[aId] = mClock.Now() + kRetryInterval;
  if (ended) {
    mNotBefore.erase(aId);
  }
}

std::optional<Briefing>
BriefingRunner::TryRun(const Briefing& aBriefing)
{
  ModelCall call;
  call.mContext.mId = aBriefing.mId;
  call.mContext.mCaller = aBriefing.mCaller;
  call.mContext.mConfig = mConfig.Current();
  call.mContext.mArrived = mClock.Now();
  call.mMessages = aBriefing.mMessages;
  auto refuse = [&](ErrorKind aKind, const char* aWhy) {
    return Finished(aBriefing,
                    BriefingState::Refused,
                    ProblemJson(FailureOf(aKind, aWhy), aBriefing.mId));
  };
  int64_t now =
    std::chrono::duration_cast<Millis>(mClock.WallNow().time_since_epoch())
      .count();
  if (now > aBriefing.mExpires) {
    return refuse(ErrorKind::DeadlinePassed,
                  "the briefing expired before it could run");
  }
  const auto& keys = call.mContext.mConfig->mKeys;
  auto key = keys.find(aBriefing.mCaller.mKeyId);
  if (key == keys.end() || key->second.mDigest != aBriefing.mCaller.mDigest) {
    return refuse(ErrorKind::KeyUnknown, "the briefing's key was withdrawn");
  }
  const auto& profiles = call.mContext.mConfig->mProfiles;
  auto profile = profiles.find(aBriefing.mProfile);
  if (profile == profiles.end() || profile->second.mModel.empty()) {
    return refuse(ErrorKind::ProfileUnknown,
                  "the briefing's profile was removed");
  }
  call.mContext.mProfile = profile->second;
  call.mMaxTokens =
    aBriefing.mMaxTokens == 0
      ? profile->second.mMaxTokens
      : std::min(aBriefing.mMaxTokens, profile->second.mMaxTokens);
  auto answer = Outcome(
    [&] { return mModels.Run(call, [](const auto&) { return true; }); });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    if (failure->mKind == ErrorKind::CostAboveBurst) {
      return refuse(failure->mKind,
                    "the briefing costs more tokens than the tenant's burst");
    }
    LogInfo("briefing_later",
            { { "briefing", aBriefing.mId }, { "reason", failure->mDetail } });
    return std::nullopt;
  }
  LogInfo("briefing_done", { { "briefing", aBriefing.mId } });
  return Finished(aBriefing,
                  BriefingState::Done,
                  ChatCompletionJson(call, std::get<ModelAnswer>(answer)));
}

} // namespace caraway
