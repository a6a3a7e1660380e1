#include "serve/EngineSlotFinder.h"

namespace caraway {

namespace {

// An owner answers within ModelOwner::kMaxPollWait unless it loads an adapter
// first.
constexpr Millis kOwnerTimeout{ 2700 };
constexpr Millis kReleaseTimeout{ 500 };
constexpr int kMaxOwners = 2; // tried in turn, per zone

std::string
OwnerKey(const EngineSlotRequest& aRequest)
{
  return "model/" + aRequest.mModel;
}

// Restores the failure that a remote owner reported.
leaf::error_id
FailureOfPeer(const Json::Value& aJson)
{
  Failure failure = FailureOf(ErrorKindOf(aJson["kind"].asCString()),
                              aJson["detail"].asString());
  failure.mRetryAfter = Millis(aJson["retry"].asInt64());
  failure.mRun = RunState::NotRun;
  return Fail(failure);
}

Json::Value
GrantJson(const std::function<Result<EngineSlotGrant>()>& aAcquire)
{
  auto answer = Outcome(aAcquire);
  if (auto* failure = std::get_if<Failure>(&answer)) {
    Json::Value json;
    json["kind"] = ErrorAnswerOf(failure->mKind).mName;
    json["detail"] = failure->mDetail;
    json["retry"] = Json::Int64(failure->mRetryAfter.count());
    return json;
  }
  return EngineSlotGrantJson(std::get<EngineSlotGrant>(answer));
}

} // namespace

EngineSlotFinder::EngineSlotFinder(ModelOwner& aOwner,
                                   Members& aMembers,
                                   PeerClient& aPeers,
                                   Authenticator& aKeys,
                                   Metrics& aMetrics)
  : mOwner(aOwner)
  , mMembers(aMembers)
  , mPeers(aPeers)
  , mKeys(aKeys)
  , mMetrics(aMetrics)
{
}

// Asks the owner in this zone first: it knows whether the zone has a replica,
// and otherwise redirects to the model's home zone. If that fails, asks in this
// zone again, which then loads the model itself.
Result<EngineSlotGrant>
EngineSlotFinder::Acquire(const std::function<EngineSlotRequest()>& aRequest,
                          const Caller& aCaller,
                          InstanceInfo& aOwner)
{
  EngineSlotRequest request = aRequest();
  Result<EngineSlotGrant> grant = AcquireInZone(request, aCaller, aOwner);
  if (!grant || grant->mRedirectZone.empty()) {
    return grant;
  }
  std::string zone = grant->mRedirectZone;
  bool silent = false;
  if (auto away = AcquireInHomeZone(request, zone, aCaller, aOwner, silent)) {
    return std::move(*away);
  }
  request = aRequest();
  request.mFailedZone = zone;
  request.mZoneSilent = silent;
  return AcquireInZone(request, aCaller, aOwner);
}

// Tries two owners, as one may have died; if neither answers, the zone counts
// as unreachable. In this instance's own zone it stops when this instance is
// the owner.
std::optional<Result<EngineSlotGrant>>
EngineSlotFinder::AcquireFromZoneOwners(const EngineSlotRequest& aRequest,
                                        const std::string& aZone,
                                        const Caller& aCaller,
                                        InstanceInfo& aOwner)
{
  for (int i = 0; i < kMaxOwners; ++i) {
    auto owner = mMembers.OwnerIn(aZone, OwnerKey(aRequest));
    if (!owner || owner->mId == mMembers.Self().mId) {
      break;
    }
    aOwner = *owner;
    if (auto answer = AcquireFrom(aRequest, aCaller, aOwner)) {
      return answer;
    }
    mMembers.MarkUnreachable(aOwner.mPeerAddress);
  }
  return std::nullopt;
}

std::optional<Result<EngineSlotGrant>>
EngineSlotFinder::AcquireInHomeZone(EngineSlotRequest aRequest,
                                    const std::string& aZone,
                                    const Caller& aCaller,
                                    InstanceInfo& aOwner,
                                    bool& aSilent)
{
  // Another request may have found the zone unreachable before this zone's
  // owner knows.
  aSilent = mMembers.RespondingZones().count(aZone) == 0;
  if (aSilent) {
    return std::nullopt;
  }
  aRequest.mNoRedirect = true; // avoids a redirect loop
  auto answer = Outcome([&]() -> Result<EngineSlotGrant> {
    auto answered = AcquireFromZoneOwners(aRequest, aZone, aCaller, aOwner);
    aSilent = !answered;
    return aSilent ? Fail(ErrorKind::NoEndpoint,
                          "no owner in the model's home zone answers")
                   : std::move(*answered);
  });
  if (aSilent) {
    mMetrics.Count("caraway_home_silent_total", "zone=\"" + aZone + "\"");
    mMembers.SuspectZone(aZone);
    return std::nullopt;
  }
  if (auto* grant = std::get_if<EngineSlotGrant>(&answer)) {
    mMetrics.Count("caraway_served_away_total", "zone=\"" + aZone + "\"");
    return Result<EngineSlotGrant>(std::move(*grant));
  }
  const Failure& failure = std::get<Failure>(answer);
  bool noReplicaThere = failure.mKind == ErrorKind::NoEndpoint ||
                        failure.mKind == ErrorKind::NoCapacity;
  if (noReplicaThere) {
    return std::nullopt;
  }
  return Result<EngineSlotGrant>(Fail(failure));
}

// Asks the zone's owner of the model, then the next owner, and serves as the
// owner itself if neither answers. Two owners at once are safe, since both
// decide by the same conditional updates.
Result<EngineSlotGrant>
EngineSlotFinder::AcquireInZone(const EngineSlotRequest& aRequest,
                                const Caller& aCaller,
                                InstanceInfo& aOwner)
{
  const std::string& zone = mMembers.Self().mZone;
  if (auto answer = AcquireFromZoneOwners(aRequest, zone, aCaller, aOwner)) {
    return std::move(*answer);
  }
  aOwner = mMembers.Self();
  Result<EngineSlotGrant> grant = mOwner.Acquire(aRequest);
  while (grant && grant->mTicket != 0) {
    BOOST_LEAF_CHECK(CheckKey(aCaller));
    grant = mOwner.Await(grant->mTicket);
  }
  return grant;
}

// Called between polls. Without it, the request of a withdrawn key would keep
// its place in the queue until the load ends, and its caller would wait that
// long for the refusal.
Result<void>
EngineSlotFinder::CheckKey(const Caller& aCaller) const
{
  if (auto keyError = mKeys.Recheck(aCaller)) {
    return Fail(*keyError, "the key became invalid while the request waited");
  }
  return {};
}

// Polls with short calls, so that an owner that freezes or dies during the wait
// is noticed within one call.
std::optional<Result<EngineSlotGrant>>
EngineSlotFinder::AcquireFrom(const EngineSlotRequest& aRequest,
                              const Caller& aCaller,
                              const InstanceInfo& aOwner)
{
  const char* method = "model.acquire";
  Json::Value params = EngineSlotRequestJson(aRequest);
  for (;;) {
    auto answer = Outcome([&] {
      return mPeers.Call(aOwner.mPeerAddress, method, params, kOwnerTimeout);
    });
    auto* json = std::get_if<Json::Value>(&answer);
    if (!json) {
      return std::nullopt;
    }
    if (json->isMember("kind")) {
      return Result<EngineSlotGrant>(FailureOfPeer(*json));
    }
    if (!json->isMember("ticket")) {
      return Result<EngineSlotGrant>(EngineSlotGrantParse(*json));
    }
    if (auto valid = CheckKey(aCaller); !valid) {
      return Result<EngineSlotGrant>(valid.error());
    }
    method = "model.await";
    params = *json;
  }
}

void
EngineSlotFinder::ReleaseSlot(const InstanceInfo& aOwner,
                              const EngineSlotRelease& aRelease)
{
  if (aOwner.mId == mMembers.Self().mId) {
    mOwner.ReleaseSlot(aRelease);
    return;
  }
  Outcome([&] {
    return mPeers.Call(aOwner.mPeerAddress,
                       "model.return",
                       EngineSlotReleaseJson(aRelease),
                       kReleaseTimeout);
  });
}

void
EngineSlotFinder::AddMethods(
  const std::function<void(const char*, PeerMethod)>& aAdd)
{
  aAdd("model.acquire", [this](const Json::Value& aParams) {
    return GrantJson(
      [&] { return mOwner.Acquire(EngineSlotRequestParse(aParams)); });
  });
  aAdd("model.await", [this](const Json::Value& aParams) {
    return GrantJson(
      [&] { return mOwner.Await(aParams["ticket"].asUInt64()); });
  });
  aAdd("model.return", [this](const Json::Value& aParams) {
    mOwner.ReleaseSlot(EngineSlotReleaseParse(aParams));
    return Json::Value(Json::objectValue);
  });
}

} // namespace caraway
