#include "entry/EvacuationFeed.h"

#include "platform/EvacuationEntry.h"
#include "platform/WireNames.h"

namespace caraway {

namespace {

// Longest time of one watch, and so about how long a silently dead connection
// goes unnoticed. Chosen for an evacuation limit of 5 s; a shorter setting
// doesn't shorten it.
constexpr Millis kWatchTime{ 2000 };

// An instance that starts serves requests without the set after this time: a
// store that rejects this kind of object must not keep the fleet from serving.
constexpr Millis kFirstReadTimeout{ 3000 };

constexpr char kZonesField[] = "evacuated";
constexpr char kAsOfField[] = "evacuated_as_of";

} // namespace

EvacuationFeed::EvacuationFeed(EntryState& aState,
                               StoreClient& aStore,
                               std::function<void()> aChanged)
  : mState(aState)
  , mChanged(std::move(aChanged))
  , mObjects(aState.mReactor,
             aState.mLog,
             aStore,
             wire::kEvacuationsKind,
             kWatchTime,
             { [this](const std::vector<StoreChange>& aAll) {
                mStored.clear();
                mUnreadable.clear();
                for (const StoreChange& change : aAll) {
                  OnObject(change);
                }
              },
               [this](const StoreChange& aChange) { OnObject(aChange); },
               [this] {
                 mState.mEvacuationFreshness.OnConfirmed(
                   mObjects.ConfirmedAt());
                 Apply(mStored, mObjects.AsOf(), "store");
               } })
  , mEnabled(aState.mSettings.mEvacuationLimit.has_value())
{
}

void
EvacuationFeed::Start()
{
  if (!mEnabled) {
    return;
  }
  mState.mAwaitsEvacuations = true;
  mState.mReactor.After(kFirstReadTimeout, [this] {
    if (mState.mAwaitsEvacuations) {
      mState.mLog.Line("evacuations_unknown").Ms("after_ms", kFirstReadTimeout);
      mState.mAwaitsEvacuations = false;
    }
  });
  mObjects.Start();
}

void
EvacuationFeed::SetPaused(bool aPaused, StoreFeed::FirstWatch aFirst)
{
  if (!mEnabled || aPaused == mPaused) {
    return;
  }
  mPaused = aPaused;
  if (mPaused) {
    mObjects.Stop();
  } else {
    mObjects.Start(aFirst);
  }
}

// ---- Store

void
EvacuationFeed::OnObject(const StoreChange& aChange)
{
  const StoreObject& object = aChange.mObject;
  mStored.erase(object.mName);
  if (aChange.mRemoved) {
    mUnreadable.erase(object.mName);
    return;
  }
  auto reading = wire::ReadEvacuation(object, mState.mSettings.mZones);
  if (reading == wire::EvacuationReading::Good) {
    mStored.insert(object.mName);
    return;
  }
  int64_t& logged = mUnreadable[object.mName];
  if (logged != object.mRevision) {
    logged = object.mRevision;
    mState.mLog.Line("evacuation_unreadable")
      .Text("name", object.mName)
      .Count("revision", object.mRevision)
      .Text("why", wire::EvacuationReadingName(reading));
  }
}

void
EvacuationFeed::Apply(const std::set<std::string>& aZones,
                      int64_t aAsOf,
                      const std::string& aFrom)
{
  Evacuations& known = mState.mEvacuations;
  Evacuations::Change change = known.Apply(aZones, aAsOf, mState.Now());
  mState.mAwaitsEvacuations = mState.mAwaitsEvacuations && !known.Known();
  for (const std::string& zone : change.mEvacuated) {
    mState.mLog.Line("zone_evacuated")
      .Text("zone", zone)
      .Count("revision", aAsOf)
      .Text("from", aFrom);
  }
  for (const std::string& zone : change.mLifted) {
    // Operators may have restarted the zone's servers meanwhile.
    mState.mServers.AssumeCold(zone, mState.Now());
    mState.mLog.Line("zone_evacuation_lifted")
      .Text("zone", zone)
      .Count("revision", aAsOf)
      .Text("from", aFrom);
  }
  if (change.Any()) {
    mChanged();
    mOnUpdate();
  }
}

// ---- Other instances

void
EvacuationFeed::Fill(Json::Value& aMessage) const
{
  const Evacuations& known = mState.mEvacuations;
  if (!known.Known()) {
    return;
  }
  aMessage[kAsOfField] = Json::Int64(known.AsOf());
  Json::Value& zones = aMessage[kZonesField];
  zones = Json::Value(Json::arrayValue);
  for (const std::string& zone : known.Zones()) {
    zones.append(zone);
  }
}

bool
EvacuationFeed::IsIn(const Json::Value& aMessage)
{
  return aMessage.isMember(kAsOfField);
}

void
EvacuationFeed::Read(const Json::Value& aMessage, const std::string& aPeer)
{
  if (!mEnabled || !IsIn(aMessage)) {
    return;
  }
  int64_t asOf = aMessage[kAsOfField].asInt64();
  if (asOf <= mState.mEvacuations.AsOf()) {
    return;
  }
  std::set<std::string> zones;
  for (const Json::Value& zone : aMessage[kZonesField]) {
    zones.insert(zone.asString());
  }
  Apply(zones, asOf, aPeer);
}

// ---- Operators

Json::Value
EvacuationFeed::ToJson() const
{
  Json::Value result;
  result["as_of"] = Json::Int64(mState.mEvacuations.AsOf());
  Json::Value& zones = result["zones"];
  zones = Json::Value(Json::objectValue);
  for (const auto& [zone, origin] : mState.mEvacuations.Origins()) {
    zones[zone]["revision"] = Json::Int64(origin.mRevision);
    zones[zone]["age_ms"] = Json::Int64(mState.AgeOf(origin.mAt).count());
  }
  return result;
}

} // namespace caraway
