#include "serve/BriefingRunner.h"

#include "base/Log.h"
#include "serve/ChatReply.h"
#include "serve/Problem.h"

namespace caraway {

namespace {

constexpr Millis kTryAgain{ 2000 };
constexpr size_t kAtOnce = 4; // of one instance
// Longer than any write is on its way.
constexpr Seconds kForgetUnkept{ 600 };

} // namespace

BriefingRunner::BriefingRunner(BriefingStore& aStore,
                               ModelCalls& aModels,
                               Members& aMembers,
                               ConfigHolder& aConfig,

                               WorkerPool& aWorkers,
                               const Clock& aClock)
  : mStore(aStore)
  , mModels(aModels)
  , mMembers(aMembers)
  , mConfig(aConfig)

  , mWorkers(aWorkers)
  , mClock(aClock)
{
}

void
BriefingRunner::Round()
{
  const std::string& self = mMembers.Self().mId;
  for (int i = 0; i < BriefingStore::kLists; ++i) {
    std::string key = "briefings/" + std::to_string(i);
    if (mMembers.FleetOwner(key).mId != self) {
      continue;
    }
    auto open = Outcome([&] { return mStore.Open(i); });
    auto* ids = std::get_if<std::set<std::string>>(&open);
    if (!ids) {
      continue;
    }
    for (const std::string& id : *ids) {
      std::lock_guard<std::mutex> lock(mLock);
      auto wait = mNotBefore.find(id);
      bool early = wait != mNotBefore.end() && mClock.Now() < wait->second;
      if (early || mRunning.size() >= kAtOnce || !mRunning.insert(id).second) {
        continue;
      }
      mWorkers.Submit([this, id] { Run(id); });
    }
  }
}

void
BriefingRunner::Run(const std::string& aId)
{
  bool ended = false;
  auto stored = Outcome([&] { return mStore.Read(aId); });
  if (auto* found = std::get_if<StoredBriefing>(&stored)) {
    ended =
      found->mBriefing.mState != BriefingState::Accepted || Attempt(*found);
  } else if (std::get<Failure>(stored).mKind == ErrorKind::NotFound) {
    // Its caller was never told that it was accepted. But the keeping may
    // still be on its way.
    ended = LongMissing(aId);
  }
  if (ended) {
    Outcome([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(mStore.Close(aId));
      return true;
    });
  }
  std::lock_guard<std::mutex> lock(mLock);
  mRunning.erase(aId);
  mNotBefore[aId] = mClock.Now() + kTryAgain;
  if (ended) {
    mNotBefore.erase(aId);
  }
}

bool
BriefingRunner::End(StoredBriefing& aStored,
                    BriefingState aState,
                    Json::Value aAnswer)
{
  Briefing ended = aStored.mBriefing;
  ended.mState = aState;
  ended.mAnswer = std::move(aAnswer);
  ended.mMessages = Json::Value(); // not needed any more
  auto kept = Outcome([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(mStore.End(aStored, ended));
    return true;
  });
  return std::holds_alternative<bool>(kept);
}

bool
BriefingRunner::LongMissing(const std::string& aId)
{
  std::lock_guard<std::mutex> lock(mLock);
  TimePoint now = mClock.Now();
  bool over = now - mMissing.emplace(aId, now).first->second > kForgetUnkept;
  if (over) {
    mMissing.erase(aId);
  }
  return over;
}

bool
BriefingRunner::Attempt(StoredBriefing& aStored)
{
  const Briefing& briefing = aStored.mBriefing;
  ModelCall call;
  call.mContext.mId = briefing.mId;
  call.mContext.mCaller = briefing.mCaller;
  call.mContext.mConfig = mConfig.Current();
  call.mContext.mArrived = mClock.Now();
  call.mMessages = briefing.mMessages;
  auto refuse = [&](ErrorKind aKind, const char* aWhy) {
    return End(aStored,
               BriefingState::Refused,
               ProblemJson(FailureOf(aKind, aWhy), briefing.mId));
  };
  int64_t now =
    std::chrono::duration_cast<Millis>(mClock.WallNow().time_since_epoch())
      .count();
  if (now > briefing.mExpires) {
    return refuse(ErrorKind::DeadlinePassed, "it couldn't be run in its time");
  }
  const auto& keys = call.mContext.mConfig->mKeys;
  auto key = keys.find(briefing.mCaller.mKeyId);
  if (key == keys.end() || key->second.mDigest != briefing.mCaller.mDigest) {
    return refuse(ErrorKind::KeyUnknown, "its key was withdrawn");
  }
  const auto& profiles = call.mContext.mConfig->mProfiles;
  auto profile = profiles.find(briefing.mProfile);
  if (profile == profiles.end() || profile->second.mModel.empty()) {
    return refuse(ErrorKind::ProfileUnknown, "its profile was removed");
  }
  call.mContext.mProfile = profile->second;
  call.mMaxTokens =
    briefing.mMaxTokens == 0
      ? profile->second.mMaxTokens
      : std::min(briefing.mMaxTokens, profile->second.mMaxTokens);
  auto answer = Outcome(
    [&] { return mModels.Run(call, [](const auto&) { return true; }); });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    if (failure->mKind == ErrorKind::CostAboveBurst) {
      return refuse(failure->mKind, "it costs more than the tenant's burst");
    }
    LogInfo("briefing_later",
            { { "briefing", briefing.mId }, { "reason", failure->mDetail } });
    return false;
  }
  LogInfo("briefing_done", { { "briefing", briefing.mId } });
  return End(aStored,
             BriefingState::Done,
             ChatWholeJson(call, std::get<ModelAnswer>(answer)));
}

} // namespace caraway
