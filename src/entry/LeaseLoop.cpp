#include "entry/LeaseLoop.h"

namespace caraway {

namespace {

constexpr char kKind[] = "caraway-leases";

// Key of what is handed over with the lease; see LeaseLoop::Handover.
constexpr char kLateOrdersKey[] = "late";

// Interval of the lease checks; a lease lasts for seconds.
constexpr Millis kCheckInterval{ 100 };

// Upper bound of the random delay of the first check. Of the instances that
// start together, most then find the lease taken instead of racing for it.
constexpr Millis kMaxStartDelay{ 300 };

// Time for which an instance with a full core leaves a free lease to the
// others. It grows as the share of a core shrinks: 0.1 s for a half, 0.4 s for
// an eighth. The lease holder of a zone of 20 instances and 15 servers needs
// about an eighth of a core for its orders.
constexpr Millis kOneCoreYield{ 50 };

// Heartbeats after which a live holder must have claimed the lease, even if it
// has just taken it; a heartbeat may be lost.
constexpr int kClaimHeartbeats = 2;

Millis
YieldOf(const EntrySettings& aSettings)
{
  auto yield = static_cast<double>(kOneCoreYield.count());
  return Millis(static_cast<int64_t>(yield / aSettings.mCpuShare));
}

std::optional<LeaseRecord>
ReadRecord(const std::string& aBody)
{
  auto object = wire::ReadObjectAnswer(aBody);
  if (!object) {
    return std::nullopt;
  }
  LeaseRecord record;
  record.mRevision = object->mRevision;
  const Json::Value& spec = object->mSpec;
  if (spec.isObject() && spec["holder"].isString() && spec["token"].isInt64()) {
    record.mHolder = spec["holder"].asString();
    record.mToken = spec["token"].asInt64();
    record.mSettled = spec["settled"].isBool() && spec["settled"].asBool();
  }
  return record;
}

} // namespace

std::string
ZoneLeaseName(const std::string& aZone)
{
  return "zone-" + aZone;
}

LeaseLoop::LeaseLoop(EntryState& aState,
                     StoreClient& aStore,
                     Peers& aPeers,
                     std::string aName,
                     Millis aSilence)
  : mState(aState)
  , mStore(aStore)
  , mPeers(aPeers)
  , mName(std::move(aName))
  , mStep(aState.mSettings.mName,
          [aSilence, &aState] {
            LeaseTimes times;
            times.mSilence = aSilence;
            times.mYield = YieldOf(aState.mSettings);
            return times;
          }())
  , mYield(YieldOf(aState.mSettings))
{
}

void
LeaseLoop::Start()
{
  mPeers.OnHeartbeatFill([this](Json::Value& aHeartbeat) {
    if (Holds()) {
      aHeartbeat["leases"].append(mName);
    }
    if (mStep.ExpiredToken() > 0) {
      aHeartbeat["expired_leases"][mName] = Json::Int64(mStep.ExpiredToken());
    }
  });
  mPeers.OnHeartbeat([this](const Peer& aPeer, const Json::Value& aHeartbeat) {
    int64_t token = aHeartbeat["expired_leases"][mName].asInt64();
    if (token > 0) {
      mStep.OnHolderExpired(aPeer.mName, token, mState.Now());
    }
  });
  std::uniform_int_distribution<int64_t> startDelay(0, kMaxStartDelay.count());
  // The first check is delayed by the yield instead of the acquisition. Of the
  // instances that start together, those that yield longer then hear that the
  // lease is held before they make a call for it.
  mStep.SetYield(Millis(0));
  mState.mReactor.After(mYield + Millis(startDelay(mState.mRandom)), [this] {
    Tick();
    mState.mReactor.Every(kCheckInterval, [this] { Tick(); });
  });
}

void
LeaseLoop::SetWanted(bool aWanted)
{
  if (aWanted != mWanted) {
    mWanted = aWanted;
    mStep.SetWanted(aWanted, mState.Now());
    Tick();
  }
}

void
LeaseLoop::SetRankYield(Millis aYield)
{
  mStep.SetYield(mYield + aYield);
}

void
LeaseLoop::Tick()
{
  TimePoint now = mState.Now();
  if (!mStep.Released()) {
    ObserveHolder(now);
  }
  switch (mStep.Due(now)) {
    case LeaseAction::None:
      break;
    case LeaseAction::Read:
      Read();
      break;
    case LeaseAction::Write:
      Write();
      break;
  }
  LogChange();
}

void
LeaseLoop::ObserveHolder(TimePoint aNow)
{
  std::string claimant = mPeers.HolderOf(mName);
  if (!claimant.empty()) {
    mStep.OnHolderAnnounced(claimant, aNow);
    mStep.SetYield(mYield);
    mLastClaimant = claimant;
  } else if (mPeers.Alive(mLastClaimant)) {
    mStep.OnHolderReleased(aNow); // alive, but no longer claims it
    mLastClaimant.clear();
  } else if (aNow >= mRecheckAt && mPeers.Alive(mStep.SeenHolder())) {
    // The holder may have released the lease before any heartbeat with its
    // claim arrived.
    mRecheckAt = aNow + mPeers.HeartbeatInterval() * kClaimHeartbeats;
    mStep.RequestReread(aNow);
  }
}

bool
LeaseLoop::RequestWrite()
{
  if (!mStore.Reachable()) {
    return false; // the lease is retried at its own interval
  }
  mStep.RequestRenewal(mState.Now());
  return true;
}

void
LeaseLoop::ReadHandover(const std::string& aBody)
{
  auto object = wire::ReadObjectAnswer(aBody);
  if (!object || !object->mSpec.isObject() || !mHandover.mRead) {
    return;
  }
  const Json::Value& orders = object->mSpec[kLateOrdersKey];
  if (orders.isObject()) {
    mHandover.mRead(orders);
  }
}

void
LeaseLoop::Read()
{
  mStore.Call("lease_read",
              wire::ReadCall(kKind, mName),
              [this](StoreOutcome aOutcome, const std::string& aBody) {
                TimePoint now = mState.Now();
                auto record = ReadRecord(aBody);
                mRecheckAt =
                  now + mPeers.HeartbeatInterval() * kClaimHeartbeats;
                if (aOutcome == StoreOutcome::Missing) {
                  mStep.OnRead(std::nullopt, now);
                } else if (aOutcome == StoreOutcome::Done && record) {
                  ReadHandover(aBody);
                  mStep.OnRead(record, now);
                } else {
                  mStep.OnFailed(now);
                }
                Tick(); // a free lease is acquired before others read it too
              });
}

void
LeaseLoop::Write()
{
  LeaseRecord wanted = mStep.WantedRecord();
  StoreObject object;
  object.mName = mName;
  object.mRevision = wanted.mRevision;
  object.mSpec["holder"] = wanted.mHolder;
  object.mSpec["token"] = Json::Int64(wanted.mToken);
  object.mSpec["settled"] = wanted.mSettled;
  // A renewal that changes nothing would leave the object's revision as it is,
  // and a successor could not see the renewal.
  object.mSpec["renewed"] = Json::Int64(
    std::chrono::duration_cast<Millis>(mState.Now().time_since_epoch())
      .count());
  if (mHandover.mWrite) {
    object.mSpec[kLateOrdersKey] = mHandover.mWrite();
  }
  TimePoint requestedAt = mState.Now();
  auto call = wanted.mRevision > 0 ? wire::ReplaceCall(kKind, object)
                                   : wire::CreateCall(kKind, object);
  mStore.Call(
    "lease_write",
    call,
    [this, requestedAt](StoreOutcome aOutcome, const std::string& aBody) {
      TimePoint now = mState.Now();
      auto record = ReadRecord(aBody);
      if (aOutcome == StoreOutcome::Done && record) {
        mWrittenAt = requestedAt;
        mStep.OnWritten(record->mRevision, requestedAt, now);
      } else if (aOutcome == StoreOutcome::Conflict ||
                 aOutcome == StoreOutcome::Missing) {
        ReadHandover(aBody);
        mStep.OnConflict(record, now);
      } else {
        mStep.OnFailed(now);
      }
      LogChange();
    });
}

void
LeaseLoop::LogChange()
{
  bool holds = Holds();
  if (holds != mLoggedHolds) {
    mLoggedHolds = holds;
    mState.mLog.Line(holds ? "lease_taken" : "lease_ended")
      .Text("lease", mName)
      .Count("token", mStep.Token());
    if (holds) {
      mStep.SetYield(mYield);
      mPeers.AnnounceLease(mName);
    }
  }
}

} // namespace caraway
