#include "entry/LeaseLoop.h"

namespace caraway {

namespace {

constexpr char kKind[] = "caraway-leases";

// A lease is looked at this often; it lasts for seconds.
constexpr Millis kTick{ 100 };

// Instances that start together look for the lease one after the other, so
// that most find it taken instead of racing for it.
constexpr Millis kStagger{ 300 };

// Left to others by an instance that has a whole core, longer by who has less:
// 0.1 s by half a core, 0.4 s by an eighth. The holder of a zone of 20
// instances and 15 servers needs about an eighth of a core for its orders.
constexpr Millis kYieldOfACore{ 50 };

// Pulses after which a living holder has said that it holds the lease, however
// lately it has taken it; some are lost.
constexpr int kClaimHeartbeats = 2;

Millis
YieldOf(const EntrySettings& aSettings)
{
  auto yield = static_cast<double>(kYieldOfACore.count());
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
  });
  std::uniform_int_distribution<int64_t> stagger(0, kStagger.count());
  mState.mReactor.After(Millis(stagger(mState.mRandom)), [this] {
    Tick();
    mState.mReactor.Every(kTick, [this] { Tick(); });
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
  ReportChange();
}

void
LeaseLoop::ObserveHolder(TimePoint aNow)
{
  std::string other = mPeers.HolderOf(mName);
  if (!other.empty()) {
    mStep.OnClaim(other, aNow);
    mLastClaimant = other;
  } else if (mPeers.Alive(mLastClaimant)) {
    mStep.OnHolderReleased(aNow); // it lives, and says so no more
    mLastClaimant.clear();
  } else if (aNow >= mRecheckAt && mPeers.Alive(mStep.SeenHolder())) {
    // Given up, perhaps, before its claim was ever heard here.
    mRecheckAt = aNow + mPeers.HeartbeatInterval() * kClaimHeartbeats;
    mStep.LookAgain(aNow);
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
                  mStep.OnRead(record, now);
                } else {
                  mStep.OnFailed(now);
                }
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
  // A renewal that changes nothing would keep its revision, and a successor
  // couldn't see it.
  object.mSpec["renewed"] = Json::Int64(
    std::chrono::duration_cast<Millis>(mState.Now().time_since_epoch())
      .count());
  TimePoint asked = mState.Now();
  auto call = wanted.mRevision > 0 ? wire::ReplaceCall(kKind, object)
                                   : wire::CreateCall(kKind, object);
  mStore.Call("lease_write",
              call,
              [this, asked](StoreOutcome aOutcome, const std::string& aBody) {
                TimePoint now = mState.Now();
                auto record = ReadRecord(aBody);
                if (aOutcome == StoreOutcome::Done && record) {
                  mStep.OnWritten(record->mRevision, asked, now);
                } else if (aOutcome == StoreOutcome::Conflict ||
                           aOutcome == StoreOutcome::Missing) {
                  mStep.OnConflict(record, now);
                } else {
                  mStep.OnFailed(now);
                }
                ReportChange();
              });
}

void
LeaseLoop::ReportChange()
{
  bool holds = Holds();
  if (holds != mTold) {
    mTold = holds;
    mState.mLog.Line(holds ? "lease_taken" : "lease_ended")
      .Text("lease", mName)
      .Count("token", mStep.Token());
  }
}

} // namespace caraway
