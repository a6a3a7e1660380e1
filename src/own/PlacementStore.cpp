#include "own/PlacementStore.h"

#include "base/RandomId.h"
#include "own/PlacementCodec.h"

namespace caraway {

namespace {

constexpr const char* kKind = "placement";
constexpr int kMaxAttempts = 5;

std::string
NameOf(const EndpointSpec& aEndpoint)
{
  return aEndpoint.mZone + "." + aEndpoint.mName;
}

StoredPlacement
NewRecord(const EndpointSpec& aEndpoint)
{
  StoredPlacement stored;
  stored.mRecord.mEndpoint = aEndpoint.mName;
  stored.mRecord.mMemory = aEndpoint.mMemory;
  stored.mRecord.mChecksFencing = aEndpoint.mChecksFencing;
  return stored;
}

// Memory and fencing are settings of the operators and come from the
// configuration, the rest comes from the object.
StoredPlacement
FromObject(const EndpointSpec& aEndpoint,
           const PlatformObject& aObject,
           TimePoint aAsOf)
{
  StoredPlacement stored;
  stored.mRecord = PlacementParse(aObject.mValue);
  stored.mRecord.mMemory = aEndpoint.mMemory;
  stored.mRecord.mChecksFencing = aEndpoint.mChecksFencing;
  stored.mVersion = aObject.mVersion;
  stored.mAsOf = aAsOf;
  return stored;
}

} // namespace

PlacementStore::PlacementStore(PlatformApi& aPlatform, const Clock& aClock)
  : mPlatform(aPlatform)
  , mClock(aClock)
{
}

Result<StoredPlacement>
PlacementStore::Read(const EndpointSpec& aEndpoint)
{
  TimePoint readAt = mClock.Now();
  auto object =
    Outcome([&] { return mPlatform.Read(kKind, NameOf(aEndpoint)); });
  if (auto* failure = std::get_if<Failure>(&object)) {
    if (failure->mKind == ErrorKind::NotFound) {
      return NewRecord(aEndpoint);
    }
    return Fail(*failure);
  }
  return FromObject(aEndpoint, std::get<PlatformObject>(object), readAt);
}

Result<std::vector<StoredPlacement>>
PlacementStore::ReadZone(const std::vector<EndpointSpec>& aEndpoints)
{
  std::vector<StoredPlacement> records;
  if (aEndpoints.empty()) {
    return records;
  }
  TimePoint readAt = mClock.Now();
  BOOST_LEAF_AUTO(objects,
                  mPlatform.List(kKind, aEndpoints.front().mZone + "."));
  for (const EndpointSpec& endpoint : aEndpoints) {
    StoredPlacement stored = NewRecord(endpoint);
    for (const PlatformObject& object : objects) {
      if (object.mName == NameOf(endpoint)) {
        stored = FromObject(endpoint, object, readAt);
      }
    }
    records.push_back(std::move(stored));
  }
  return records;
}

WriteOutcome
PlacementStore::Replace(const EndpointSpec& aEndpoint,
                        StoredPlacement& aStored,
                        const PlacementRecord& aNext)
{
  TimePoint readAt = mClock.Now();
  WriteResult result = mPlatform.Write({ kKind,
                                         NameOf(aEndpoint),
                                         aStored.mVersion,
                                         RandomId(),
                                         PlacementJson(aNext) });
  bool known = result.mOutcome == WriteOutcome::Done ||
               result.mOutcome == WriteOutcome::Conflict;
  if (known) {
    aStored = FromObject(aEndpoint, result.mObject, readAt);
  }
  return result.mOutcome;
}

bool
PlacementStore::Change(const EndpointSpec& aEndpoint,
                       StoredPlacement& aStored,
                       const std::function<bool(PlacementRecord&)>& aChange)
{
  for (int i = 0; i < kMaxAttempts; ++i) {
    PlacementRecord next = aStored.mRecord;
    if (!aChange(next)) {
      return false;
    }
    WriteOutcome outcome = Replace(aEndpoint, aStored, next);
    if (outcome != WriteOutcome::Conflict) {
      return outcome == WriteOutcome::Done;
    }
  }
  return false;
}

} // namespace caraway
