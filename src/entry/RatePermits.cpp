#include "entry/RatePermits.h"

#include <algorithm>

#include "decide/Rendezvous.h"
#include "entry/ServerLimits.h"

namespace caraway {

namespace {

constexpr char kReserveMethod[] = "reserve_rate";

constexpr char kLimitsField[] = "rate_limits";

// An instance answers within milliseconds.
constexpr Millis kAskTimeout{ 250 };

// The first keeper and the one that stands in for it. A third one would exceed
// the server's limit if all three are asked in the same window.
constexpr size_t kKeepersAsked = 2;

// While no keeper answers, the server gets nothing from here for this time.
constexpr Millis kUnansweredPause{ 1000 };

constexpr Millis kSweepInterval{ 5000 };

// Limits that a heartbeat carries at most; those told last come first.
constexpr size_t kMaxLimits = 16;

// Older news isn't passed on; who has none by then learns from its own answers.
constexpr Millis kMaxNewsAge{ 30000 };

} // namespace

struct RatePermits::Ask
{
  std::string mServer;
  Millis mWithin{ 0 };
  TimePoint mAskedAt{};
  std::vector<std::string> mKeepers; // not asked yet
  std::function<void(const Answer&)> mDone;
};

RatePermits::RatePermits(EntryState& aState, Peers& aPeers)
  : mState(aState)
  , mPeers(aPeers)
{
}

void
RatePermits::Start()
{
  mPeers.AddMethod(kReserveMethod, [this](const Json::Value& aParams) {
    return OnAsked(aParams);
  });
  mState.mReactor.Every(kSweepInterval,
                        [this] { mReservations.Sweep(mState.Now()); });
}

// ---- Permits

// Instances of the server's zone, or of all zones if it has none.
std::vector<std::string>
RatePermits::KeepersOf(const Backend& aBackend) const
{
  const std::string& zone = aBackend.mEntry.mZone;
  const std::string& self = mState.mSettings.mName;
  std::vector<std::string> near;
  std::vector<std::string> all{ self };
  if (zone == mState.mSettings.mZone) {
    near.push_back(self);
  }
  for (const auto& [name, peer] : mPeers.All()) {
    if (!mPeers.Alive(peer) || peer.mLeaving) {
      continue;
    }
    all.push_back(name);
    if (peer.mZone == zone) {
      near.push_back(name);
    }
  }
  return RendezvousFirst(
    near.empty() ? all : near, aBackend.mEntry.mId, kKeepersAsked);
}

Json::Value
RatePermits::OnAsked(const Json::Value& aParams)
{
  TimePoint now = mState.Now();
  Json::Value result(Json::objectValue);
  // What a former process of this instance gave isn't known here.
  if (mState.AgeOf(mState.mStartedAt) < RateReservations::kSettleTime) {
    return result;
  }
  RateReservation reservation =
    mReservations.Reserve(aParams["server"].asString(),
                          aParams["born"].asInt64(),
                          aParams["per_second"].asDouble(),
                          now + Millis(aParams["within_ms"].asInt64()),
                          now);
  result["granted"] = reservation.mAt.has_value();
  result["wait_ms"] = Json::Int64(reservation.mWait.count());
  return result;
}

void
RatePermits::Request(const std::string& aServer,
                     Millis aWithin,
                     std::function<void(const Answer&)> aDone)
{
  auto ask = std::make_shared<Ask>();
  ask->mServer = aServer;
  ask->mWithin = aWithin;
  ask->mAskedAt = mState.Now();
  ask->mDone = std::move(aDone);
  if (const Backend* backend = mState.mServers.Find(aServer)) {
    ask->mKeepers = KeepersOf(*backend);
  }
  mState.mReactor.After(Millis(0), [this, ask] { AskNext(ask); });
}

void
RatePermits::AskNext(const std::shared_ptr<Ask>& aAsk)
{
  const Backend* backend = mState.mServers.Find(aAsk->mServer);
  if (!backend || !backend->mRateLimit || aAsk->mKeepers.empty()) {
    Finish(*aAsk, { false, kUnansweredPause });
    return;
  }
  std::string keeper = aAsk->mKeepers.front();
  aAsk->mKeepers.erase(aAsk->mKeepers.begin());
  Millis left = aAsk->mWithin - mState.AgeOf(aAsk->mAskedAt);
  Json::Value params;
  params["server"] = aAsk->mServer;
  params["born"] = Json::Int64(backend->mEntry.mStartTime);
  params["per_second"] = *backend->mRateLimit;
  params["within_ms"] = Json::Int64(left.count());
  auto onAnswer = [this, aAsk](bool aGood, const Json::Value& aResult) {
    if (aGood && aResult["wait_ms"].isInt64()) {
      OnAnswer(*aAsk, aResult);
    } else {
      AskNext(aAsk);
    }
  };
  if (keeper == mState.mSettings.mName) {
    onAnswer(true, OnAsked(params));
  } else {
    mPeers.Call(keeper, kReserveMethod, params, kAskTimeout, onAnswer);
  }
}

void
RatePermits::OnAnswer(Ask& aAsk, const Json::Value& aResult)
{
  Finish(aAsk,
         { aResult["granted"].asBool(), Millis(aResult["wait_ms"].asInt64()) });
}

void
RatePermits::Finish(Ask& aAsk, const Answer& aAnswer)
{
  mState.mMetrics.Count("caraway_rate_permits_total",
                        aAnswer.mGranted ? "granted=\"yes\""
                                         : "granted=\"no\"");
  if (aAnswer.mGranted) {
    mState.mServers.OnRatePermit(aAsk.mServer, mState.Now() + aAnswer.mWait);
  }
  aAsk.mDone(aAnswer);
}

// ---- Limits told to other instances

void
RatePermits::FillHeartbeat(Json::Value& aHeartbeat) const
{
  std::vector<const Backend*> limited;
  for (const auto& [id, backend] : mState.mServers.All()) {
    if (backend.mRateLimit &&
        mState.AgeOf(backend.mRateLimit.AskedAt()) < kMaxNewsAge) {
      limited.push_back(&backend);
    }
  }
  std::sort(
    limited.begin(), limited.end(), [](const auto* aOne, const auto* aOther) {
      return aOne->mRateLimit.AskedAt() > aOther->mRateLimit.AskedAt();
    });
  limited.resize(std::min(limited.size(), kMaxLimits));
  for (const Backend* backend : limited) {
    Json::Value& limit = aHeartbeat[kLimitsField][backend->mEntry.mId];
    limit["per_second"] = *backend->mRateLimit;
    limit["born"] = Json::Int64(backend->mEntry.mStartTime);
    limit["age_ms"] =
      Json::Int64(mState.AgeOf(backend->mRateLimit.AskedAt()).count());
  }
}

void
RatePermits::ReadHeartbeat(const Json::Value& aHeartbeat)
{
  const Json::Value& limits = aHeartbeat[kLimitsField];
  if (!limits.isObject()) {
    return;
  }
  for (const std::string& id : limits.getMemberNames()) {
    const Json::Value& limit = limits[id];
    Backend* backend = mState.mServers.Find(id);
    if (backend && backend->mEntry.mStartTime == limit["born"].asInt64()) {
      TimePoint askedAt = mState.Now() - Millis(limit["age_ms"].asInt64()) -
                          mState.mReactor.Lag();
      ApplyRateLimit(mState, id, limit["per_second"].asDouble(), askedAt);
    }
  }
}

} // namespace caraway
