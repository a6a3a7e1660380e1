// CrashReportsKept.cpp: what is known of crashing parts in heartbeats, in this
// instance's entry in the store, and for operators.
#include "entry/CrashReports.h"

#include <algorithm>

#include "base/JsonText.h"
#include "platform/JsonReading.h"

namespace caraway {

namespace {

constexpr char kField[] = "crashing";

constexpr size_t kPartsPerHeartbeat = 16;
constexpr size_t kPartsPerEntry = 32;

// A part that is cleared within this time needs no place in the store.
constexpr Millis kEntryDelay{ 300 };

// The store takes several hundred writes a second, from all instances.
constexpr Millis kEntrySpreadPerInstance{ 5 };

} // namespace

// ---- Messages

int64_t
CrashReports::UnixMs() const
{
  auto now = mState.mReactor.SourceClock().WallNow().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

// Times are ages in milliseconds, as the clocks of instances differ.
Json::Value
CrashReports::ToJson(const std::vector<PartEvidence>& aEvidence) const
{
  Json::Value json(Json::objectValue);
  for (const PartEvidence& evidence : aEvidence) {
    Json::Value& part = json[evidence.mPart];
    part["blocked"] = evidence.mBlocked;
    part["probes"] = evidence.mProbes;
    for (const CrashSighting& crash : evidence.mCrashes) {
      part["ages"][crash.mCrash] = Json::Int64(mState.AgeOf(crash.mAt).count());
    }
  }
  return json;
}

// aAge: time since aJson was written.
void
CrashReports::ReadEvidence(const Json::Value& aJson,
                           Millis aAge,
                           const std::string& aFrom)
{
  if (!aJson.isObject()) {
    return;
  }
  TimePoint now = mState.Now();
  for (const std::string& name : aJson.getMemberNames()) {
    const Json::Value& part = aJson[name];
    const Json::Value& ages = wire::Field(part, "ages");
    if (!ages.isObject()) {
      continue;
    }
    PartEvidence evidence;
    evidence.mPart = name;
    evidence.mBlocked = wire::Flag(part, "blocked").value_or(false);
    evidence.mProbes = static_cast<int>(
      std::clamp(wire::Number(part, "probes").value_or(0), 0.0, 100.0));
    for (const std::string& crash : ages.getMemberNames()) {
      Millis age = wire::Duration(ages, crash.c_str(), Millis(0));
      evidence.mCrashes.push_back({ crash, now - age - aAge });
    }
    OnTold(evidence, aFrom);
  }
}

void
CrashReports::FillHeartbeat(Json::Value& aHeartbeat) const
{
  mRequestEnds.FillHeartbeat(aHeartbeat);
  if (!mSuspects.Empty()) {
    Json::Value json = ToJson(mSuspects.Evidence(kPartsPerHeartbeat));
    if (!json.empty()) {
      aHeartbeat[kField] = std::move(json);
    }
  }
}

void
CrashReports::ReadHeartbeat(const Json::Value& aHeartbeat)
{
  mRequestEnds.ReadHeartbeat(aHeartbeat);
  if (aHeartbeat.isMember(kField)) {
    ReadEvidence(aHeartbeat[kField], Millis(0), aHeartbeat["name"].asString());
  }
}

// ---- This instance's entry in the store

// All instances keep what is blocked. What is only suspected is kept by those
// that reported a crash of it.
std::vector<PartEvidence>
CrashReports::EntryEvidence() const
{
  std::vector<PartEvidence> kept;
  for (PartEvidence& evidence : mSuspects.Evidence(kPartsPerEntry)) {
    bool own = std::any_of(evidence.mCrashes.begin(),
                           evidence.mCrashes.end(),
                           [this](const CrashSighting& aCrash) {
                             return mReported.count(aCrash.mCrash) > 0;
                           });
    if (evidence.mBlocked || own) {
      kept.push_back(std::move(evidence));
    }
  }
  return kept;
}

void
CrashReports::CheckEntry()
{
  if (mEntryCheckAt != TimePoint() && mState.Now() < mEntryCheckAt) {
    return;
  }
  std::string now;
  for (const PartEvidence& evidence : EntryEvidence()) {
    now += evidence.mPart + " " + std::to_string(evidence.mCrashes.size()) +
           (evidence.mBlocked ? "!" : "") + std::to_string(evidence.mProbes) +
           "\n";
  }
  if (now == mWrittenEntry) {
    mEntryCheckAt = TimePoint();
  } else if (mEntryCheckAt == TimePoint()) {
    // Spread, as all instances write a verdict.
    std::uniform_int_distribution<int64_t> spread(
      0, mState.mInstances * kEntrySpreadPerInstance.count());
    mEntryCheckAt = mState.Now() + kEntryDelay + Millis(spread(mState.mRandom));
  } else {
    mEntryCheckAt = TimePoint();
    mWrittenEntry = now;
    mMembers.RewriteEntry();
  }
}

void
CrashReports::FillEntry(Json::Value& aSpec)
{
  Json::Value json = ToJson(EntryEvidence());
  if (!json.empty()) {
    aSpec[kField] = std::move(json);
    aSpec["crashing_at"] = Json::Int64(UnixMs());
  }
}

// aName: the instance whose entry it is; this one's own is of its former
// process.
void
CrashReports::ReadEntry(const std::string& aName, const Json::Value& aSpec)
{
  const Json::Value& parts = wire::Field(aSpec, kField);
  auto writtenAt = wire::Integer(aSpec, "crashing_at");
  if (parts.isObject() && writtenAt) {
    // Clocks differ, and may jump.
    Millis age(std::max<int64_t>(UnixMs() - *writtenAt, 0));
    ReadEvidence(parts, age, "entry of " + aName);
  }
}

// ---- Operators

Json::Value
CrashReports::ListParts() const
{
  constexpr size_t kMost = 256;
  return ToJson(mSuspects.Evidence(kMost));
}

// The crashes before don't count any more; later ones do. "part" may also be
// the name of a request.
Json::Value
CrashReports::Lift(const Json::Value& aParams)
{
  std::string part = aParams["part"].asString();
  bool blocked = mSuspects.Blocks(part);
  TellCleared(part, mSuspects.OnGoodAnswer(part));
  if (blocked) {
    OnUnblocked(part, "lifted by an operator");
  }
  Json::Value result;
  result["lifted"] = mRequestEnds.Lift(part) || blocked;
  return result;
}

} // namespace caraway
